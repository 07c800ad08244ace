#include "masticcourse/state/journal_recovery.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <ranges>
#include <utility>

namespace masticcourse
{

namespace
{

std::string journal_prefix(const incarnation_id& journal)
{
    return "journal/" + journal.value + "/";
}

} // namespace

std::optional<std::uint64_t> journal_index_of(const incarnation_id& journal, const std::string& key)
{
    const std::string prefix = journal_prefix(journal);
    if (!key.starts_with(prefix))
    {
        return std::nullopt;
    }
    std::uint64_t result = 0;
    const char* const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + prefix.size(), end, result);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(result) : std::nullopt;
}

std::uint64_t last_index_of(const incarnation_id& journal, const store_reply& listed)
{
    std::uint64_t result = 0;
    for (const auto& it : listed.rows)
    {
        result = std::max(result, journal_index_of(journal, it.key).value_or(0));
    }
    return result;
}

store_op list_journal(const incarnation_id& journal)
{
    return object_list{journal_prefix(journal)};
}

journal_recovery::journal_recovery(incarnation_id journal, incarnation_id reader, retry_options retry)
    : m_journal(std::move(journal)), m_reader(std::move(reader)),
      m_exchange(retry, std::hash<incarnation_id>{}(m_reader) ^ std::hash<incarnation_id>{}(m_journal))
{
}

void journal_recovery::seal()
{
    m_seal_wanted = true;
}

void journal_recovery::read(std::uint64_t from, std::optional<std::uint64_t> until)
{
    if (until)
    {
        add_range(from, *until);
    }
    else if (m_end)
    {
        add_range(from, *m_end);
    }
    else
    {
        m_seal_wanted = true;
        m_open_ranges.insert(from);
    }
}

std::optional<store_op> journal_recovery::poll(core_time now)
{
    if (!m_exchange.open(now))
    {
        return std::nullopt;
    }
    m_step = next_step();
    if (m_step == step::idle)
    {
        return std::nullopt;
    }
    m_exchange.sent();
    return operation_for(m_step);
}

void journal_recovery::on_reply(const store_reply& reply, core_time now)
{
    const store_answer answer = m_exchange.received(reply, now);
    if (answer != store_answer::settled)
    {
        // Whether a seal stands that had no answer shows in the listing.
        const bool lost_seal = m_step == step::write_seal && answer == store_answer::lost;
        m_listed = m_listed && !lost_seal;
        return;
    }
    switch (m_step)
    {
    case step::list:
        on_listed(reply);
        break;
    case step::read_last:
        on_last_read(reply);
        break;
    case step::write_seal:
        on_seal_reply(reply);
        break;
    case step::read_entry:
        on_entry_read(reply);
        break;
    case step::idle:
        break;
    }
}

core_time journal_recovery::next_wakeup() const
{
    return next_step() == step::idle ? core_time::max() : m_exchange.ready_at();
}

std::optional<std::uint64_t> journal_recovery::end() const
{
    return m_end;
}

bool journal_recovery::done() const
{
    return next_step() == step::idle;
}

bool journal_recovery::has(std::uint64_t from, std::uint64_t until) const
{
    return std::ranges::all_of(std::views::iota(from, std::max(from, until)),
                               [&](std::uint64_t index) { return m_seen.contains(index); });
}

const std::map<std::uint64_t, journal_entry>& journal_recovery::entries() const
{
    return m_entries;
}

const std::vector<damaged_entry>& journal_recovery::damages() const
{
    return m_damages;
}

journal_recovery::step journal_recovery::next_step() const
{
    if (m_seal_wanted && !m_end)
    {
        if (!m_listed)
        {
            return step::list;
        }
        return m_look_at ? step::read_last : step::write_seal;
    }
    return m_wanted.empty() ? step::idle : step::read_entry;
}

store_op journal_recovery::operation_for(step what)
{
    switch (what)
    {
    case step::list:
        return list_journal(m_journal);
    case step::read_last:
        return object_get{journal_key(m_journal, *m_look_at)};
    case step::write_seal:
        return object_create{
            journal_key(m_journal, m_seal_at),
            encode(
                journal_entry{.journal = m_journal, .writer = m_reader, .index = m_seal_at, .seal = true})};
    default:
        // Remembered: a lower entry may be asked for before the answer is here.
        m_reading = *m_wanted.begin();
        return object_get{journal_key(m_journal, m_reading)};
    }
}

void journal_recovery::on_listed(const store_reply& reply)
{
    m_listed = true;
    const std::uint64_t last = last_index_of(m_journal, reply);
    if (last > 0 && last == m_written_seal)
    {
        seal_stands(last);
        return;
    }
    m_seal_at = last + 1;
    m_look_at = last > 0 ? std::optional(last) : std::nullopt;
    m_looking_at_top = true;
}

void journal_recovery::on_last_read(const store_reply& reply)
{
    const std::uint64_t index = *std::exchange(m_look_at, std::nullopt);
    if (reply.status != store_status::ok)
    {
        // It was cleaned away, so the journal has grown meanwhile.
        m_listed = false;
        return;
    }
    const auto decoded = decode_entry(reply.value);
    if (decoded.damage != journal_damage::none || !decoded.entry.seal)
    {
        m_seal_at = index + 1;
    }
    else if (m_looking_at_top)
    {
        seal_stands(index);
    }
    else
    {
        m_listed = false;
    }
}

void journal_recovery::on_seal_reply(const store_reply& reply)
{
    if (reply.status == store_status::ok)
    {
        // It ends the journal only if nothing stands above it: were we asleep since the listing, a living
        // owner may have written on and cleaned up, and the seal has filled a hole far below.
        m_written_seal = m_seal_at;
        m_listed = false;
        return;
    }
    m_look_at = m_seal_at;
    m_looking_at_top = false;
}

void journal_recovery::on_entry_read(const store_reply& reply)
{
    const std::uint64_t index = m_reading;
    m_wanted.erase(index);
    m_seen.insert(index);
    if (reply.status != store_status::ok)
    {
        m_damages.push_back({.journal = m_journal, .index = index, .missing = true});
        return;
    }
    auto decoded = decode_entry(reply.value);
    const bool misplaced = decoded.entry.index != index || decoded.entry.journal != m_journal;
    if (decoded.damage == journal_damage::none && misplaced)
    {
        decoded.damage = journal_damage::malformed;
    }
    if (decoded.damage != journal_damage::none)
    {
        m_damages.push_back({.journal = m_journal, .index = index, .damage = decoded.damage});
    }
    else if (!decoded.entry.seal)
    {
        m_entries.emplace(index, std::move(decoded.entry));
    }
}

void journal_recovery::seal_stands(std::uint64_t index)
{
    m_end = index;
    std::ranges::for_each(m_open_ranges, [&](std::uint64_t from) { add_range(from, index); });
    m_open_ranges.clear();
}

void journal_recovery::add_range(std::uint64_t from, std::uint64_t until)
{
    for (std::uint64_t index = from; index < until; ++index)
    {
        if (!m_seen.contains(index))
        {
            m_wanted.insert(index);
        }
    }
}

} // namespace masticcourse

#include "masticcourse/state/journal_cleaner.hpp"

#include "masticcourse/state/journal_recovery.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace masticcourse
{

journal_cleaner::journal_cleaner(incarnation_id journal, std::size_t most, retry_options retry)
    : m_journal(std::move(journal)), m_most(most), m_exchange(retry, std::hash<incarnation_id>{}(m_journal))
{
}

std::optional<store_op> journal_cleaner::poll(core_time now)
{
    if (m_step == step::finished || !m_exchange.open(now))
    {
        return std::nullopt;
    }
    m_exchange.sent();
    switch (m_step)
    {
    // Entries before rows: an entry that is listed here and named by no row read later is never named again.
    case step::list_entries:
        return list_journal(m_journal);
    case step::list_rows:
        return table_list{std::string(shard_key_prefix)};
    default:
        return object_delete{m_keys.front()};
    }
}

void journal_cleaner::on_reply(const store_reply& reply, core_time now)
{
    if (m_exchange.received(reply, now) != store_answer::settled)
    {
        // All three steps may be done twice.
        return;
    }
    switch (m_step)
    {
    case step::list_entries:
        on_entries(reply);
        break;
    case step::list_rows:
        on_rows(reply);
        break;
    default:
        m_keys.pop_front();
        ++m_deleted;
        break;
    }
    if (m_step == step::remove && m_keys.empty())
    {
        m_step = step::finished;
    }
}

core_time journal_cleaner::next_wakeup() const
{
    return m_step == step::finished ? core_time::max() : m_exchange.ready_at();
}

bool journal_cleaner::done() const
{
    return m_step == step::finished;
}

std::size_t journal_cleaner::deleted() const
{
    return m_deleted;
}

void journal_cleaner::on_entries(const store_reply& reply)
{
    const std::uint64_t last = last_index_of(m_journal, reply);
    for (const auto& it : reply.rows)
    {
        if (const auto index = journal_index_of(m_journal, it.key); index && *index < last)
        {
            m_keys.push_back(it.key);
        }
    }
    m_step = step::list_rows;
}

void journal_cleaner::on_rows(const store_reply& reply)
{
    std::uint64_t first_named = std::numeric_limits<std::uint64_t>::max();
    for (const auto& it : reply.rows)
    {
        const auto row = decode_shard_row(it.value);
        if (!row)
        {
            // What a damaged row names is not known, so nothing may go.
            first_named = 0;
            break;
        }
        for (const auto& part : row->parts)
        {
            first_named = part.journal == m_journal ? std::min(first_named, part.from_index) : first_named;
        }
    }
    std::erase_if(m_keys,
                  [&](const std::string& it) { return *journal_index_of(m_journal, it) >= first_named; });
    m_keys.resize(std::min(m_keys.size(), m_most));
    m_step = step::remove;
}

} // namespace masticcourse

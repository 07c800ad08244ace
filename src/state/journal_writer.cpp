#include "masticcourse/state/journal_writer.hpp"

#include "masticcourse/core/invariant.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace masticcourse
{

journal_writer::journal_writer(incarnation_id journal, journal_options options)
    : m_journal(std::move(journal)), m_options(options),
      m_retry(options.retry, std::hash<incarnation_id>{}(m_journal))
{
}

journal_ticket journal_writer::append(journal_record record, core_time now)
{
    const std::size_t bytes = estimated_bytes(record);
    m_pending.push_back({std::move(record), now, bytes});
    m_pending_bytes += bytes;
    return ++m_appended;
}

bool journal_writer::try_replace(journal_ticket ticket, journal_payload payload)
{
    auto* const record = find_unwritten(ticket);
    if (record == nullptr)
    {
        return false;
    }
    record->payload = std::move(payload);
    return true;
}

journal_record* journal_writer::find_unwritten(journal_ticket ticket)
{
    if (ticket <= m_durable || ticket > m_appended)
    {
        return nullptr;
    }
    const journal_ticket before_pending = m_appended - m_pending.size();
    if (ticket > before_pending)
    {
        return &m_pending[ticket - before_pending - 1].record;
    }
    const bool may_be_written = m_in_flight || m_open->may_be_written;
    return may_be_written ? nullptr : &m_open->entry.records[ticket - m_durable - 1];
}

std::optional<store_op> journal_writer::poll(core_time now)
{
    if (m_in_flight || m_sealed || now < next_wakeup())
    {
        return std::nullopt;
    }
    if (!m_open)
    {
        open_next_entry();
        m_gap_over = now + m_options.min_gap;
    }
    m_in_flight = true;
    const std::string key = journal_key(m_journal, m_open->entry.index);
    if (m_step == step::read_back)
    {
        return object_get{key};
    }
    return object_create{key, encode(m_open->entry)};
}

void journal_writer::on_reply(const store_reply& reply, core_time now)
{
    if (!std::exchange(m_in_flight, false) || !m_open)
    {
        return;
    }
    if (m_step == step::write)
    {
        on_write_reply(reply, now);
    }
    else
    {
        on_read_reply(reply, now);
    }
}

journal_ticket journal_writer::durable() const
{
    return m_durable;
}

journal_ticket journal_writer::last_ticket() const
{
    return m_appended;
}

bool journal_writer::sealed() const
{
    return m_sealed;
}

core_duration journal_writer::stalled_for(core_time now) const
{
    if (m_open)
    {
        return now - m_open->oldest;
    }
    return m_pending.empty() ? core_duration::zero() : now - m_pending.front().appended;
}

std::uint64_t journal_writer::next_index() const
{
    return m_next_index;
}

std::uint64_t journal_writer::durable_end() const
{
    return m_open ? m_open->entry.index : m_next_index;
}

core_time journal_writer::next_wakeup() const
{
    if (m_in_flight || m_sealed || (!m_open && m_pending.empty()))
    {
        return core_time::max();
    }
    return std::max(m_retry.ready_at(), m_open ? core_time::min() : m_gap_over);
}

std::size_t journal_writer::pending_bytes() const
{
    return m_pending_bytes;
}

void journal_writer::open_next_entry()
{
    open_entry opened{.entry = {.journal = m_journal, .writer = m_journal, .index = m_next_index},
                      .oldest = m_pending.front().appended};
    do
    {
        opened.pending_bytes += m_pending.front().bytes;
        opened.entry.records.push_back(std::move(m_pending.front().record));
        m_pending.pop_front();
    } while (!m_pending.empty() &&
             opened.pending_bytes + m_pending.front().bytes <= m_options.max_entry_bytes);
    opened.last = m_appended - m_pending.size();
    m_open = std::move(opened);
    m_step = step::write;
    ++m_next_index;
}

void journal_writer::on_write_reply(const store_reply& reply, core_time now)
{
    switch (reply.status)
    {
    case store_status::ok:
        entry_durable();
        break;
    case store_status::conflict:
        // Either an attempt of ours that took effect unseen, or somebody else's entry.
        m_open->may_be_written = true;
        m_step = step::read_back;
        break;
    case store_status::outcome_unknown:
        m_open->may_be_written = true;
        m_step = step::read_back;
        m_retry.failed(now);
        break;
    default:
        m_retry.failed(now);
        break;
    }
}

void journal_writer::on_read_reply(const store_reply& reply, core_time now)
{
    switch (reply.status)
    {
    case store_status::ok:
        // Only these very bytes are ours: our incarnation is in them, and no other process writes it.
        if (reply.value == encode(m_open->entry))
        {
            entry_durable();
        }
        else
        {
            m_sealed = true;
        }
        break;
    case store_status::not_found:
        m_step = step::write;
        break;
    default:
        m_retry.failed(now);
        break;
    }
}

void journal_writer::entry_durable()
{
    MASTICCOURSE_INVARIANT(m_open->last > m_durable, "durable records went back");
    m_durable = m_open->last;
    m_pending_bytes -= m_open->pending_bytes;
    m_open.reset();
    m_step = step::write;
    m_retry.succeeded();
}

namespace
{

/// Members of fixed size, type names and framing of one record.
constexpr std::size_t record_overhead = 96;

std::size_t bytes_of(const call_request& it)
{
    return it.key.value.size() + it.service.value.size() + it.input.size();
}

std::size_t bytes_of(const turn& it)
{
    return it.key.value.size() + it.service.value.size() + it.input.size() + it.outcome.output.size() +
           it.outcome.error.detail.size() + record_overhead;
}

struct payload_bytes
{
    std::size_t operator()(const program_created& it) const
    {
        return it.program.value.size() + it.spec.workspace.value.size() + it.spec.parent.value.size();
    }

    std::size_t operator()(const call_intended& it) const
    {
        return it.program.value.size() + bytes_of(it.request) + it.target.value.size() +
               it.target_incarnation.value.size();
    }

    std::size_t operator()(const turn_committed& it) const
    {
        return it.program.value.size() + bytes_of(it.finished);
    }

    std::size_t operator()(const intent_withdrawn& it) const
    {
        return it.program.value.size() + it.key.value.size();
    }

    std::size_t operator()(const program_snapshot& it) const
    {
        std::size_t result = it.program.value.size() + it.spec.workspace.value.size();
        std::ranges::for_each(it.turns, [&](const turn& each) { result += bytes_of(each); });
        std::ranges::for_each(it.intents, [&](const call_intended& each) { result += (*this)(each); });
        return result;
    }

    std::size_t operator()(const ownership_probe& /*it*/) const
    {
        return 0;
    }

    template <typename T>
    std::size_t operator()(const T& it) const
    {
        return it.program.value.size();
    }
};

} // namespace

std::size_t estimated_bytes(const journal_record& record)
{
    return record_overhead + std::visit(payload_bytes{}, record.payload);
}

} // namespace masticcourse

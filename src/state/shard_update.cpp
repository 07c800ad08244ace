#include "masticcourse/state/shard_update.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace masticcourse
{

shard_update::shard_update(shard_row next, row_version version, retry_options retry)
    : m_next(std::move(next)), m_version(version), m_exchange(retry, m_next.epoch + m_next.shard)
{
}

std::optional<store_op> shard_update::poll(core_time now)
{
    if (m_state != update_state::updating || !m_exchange.open(now))
    {
        return std::nullopt;
    }
    m_exchange.sent();
    if (m_reading_back)
    {
        return table_get{shard_key(m_next.shard)};
    }
    return table_put{shard_key(m_next.shard), encode(m_next), m_version};
}

void shard_update::on_reply(const store_reply& reply, core_time now)
{
    const store_answer answer = m_exchange.received(reply, now);
    if (answer != store_answer::settled)
    {
        m_reading_back = m_reading_back || answer == store_answer::lost;
        return;
    }
    if (std::exchange(m_reading_back, false))
    {
        on_read_reply(reply);
    }
    else
    {
        on_write_reply(reply);
    }
}

core_time shard_update::next_wakeup() const
{
    return m_state == update_state::updating ? m_exchange.ready_at() : core_time::max();
}

update_state shard_update::state() const
{
    return m_state;
}

const shard_row& shard_update::row() const
{
    return m_next;
}

row_version shard_update::version() const
{
    return m_version;
}

void shard_update::on_write_reply(const store_reply& reply)
{
    if (reply.status == store_status::ok)
    {
        m_version = reply.version;
        m_state = update_state::done;
    }
    else
    {
        // Ours from an earlier attempt, or a successor's: the row tells.
        m_reading_back = true;
    }
}

void shard_update::on_read_reply(const store_reply& reply)
{
    const auto row = reply.status == store_status::ok ? decode_shard_row(reply.value) : std::nullopt;
    if (row == m_next)
    {
        m_version = reply.version;
        m_state = update_state::done;
    }
    else if (!row || reply.version != m_version)
    {
        // Only a successor changes the row of an owner that has one write under way.
        m_state = update_state::lost_shard;
    }
}

shard_update shard_release(const shard_row& row, row_version version, std::uint64_t durable_end,
                           retry_options retry)
{
    shard_row next = row;
    next.owner = {};
    next.owner_name = {};
    next.owner_address = {};
    for (auto& it : next.parts)
    {
        it.until = it.until.value_or(durable_end);
    }
    std::erase_if(next.parts, [](const journal_part& it) { return *it.until <= it.from_index; });
    return {std::move(next), version, retry};
}

shard_update shard_checkpoint(const shard_row& row, row_version version, std::uint64_t from_index,
                              retry_options retry)
{
    shard_row next = row;
    next.parts = {{.journal = row.owner, .from_index = from_index}};
    return {std::move(next), version, retry};
}

} // namespace masticcourse

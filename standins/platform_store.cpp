#include "platform_store.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace masticcourse::standins
{

namespace
{

bool is_write(const store_op& op)
{
    return std::holds_alternative<table_put>(op) || std::holds_alternative<object_create>(op) ||
           std::holds_alternative<object_delete>(op);
}

} // namespace

bool token_bucket::try_acquire(double per_second, core_time now)
{
    if (!m_last_refill)
    {
        m_tokens = per_second;
    }
    const auto elapsed = m_last_refill ? now - *m_last_refill : core_duration{};
    m_last_refill = now;
    const auto seconds = std::chrono::duration<double>{elapsed}.count();
    m_tokens = std::min(per_second, m_tokens + per_second * seconds);
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

store_reply platform_store::apply(const store_op& op, core_time now)
{
    const bool write = is_write(op);
    if (!admit(write, now))
    {
        ++m_stats.refused;
        return {.status = store_status::unavailable};
    }
    ++(write ? m_stats.writes : m_stats.reads);
    auto reply = std::visit([this](const auto& it) { return execute(it); }, op);
    m_stats.conflicts += reply.status == store_status::conflict ? 1 : 0;
    if (m_faults.lose_answers > 0)
    {
        --m_faults.lose_answers;
        ++m_stats.lost_answers;
        return {.status = store_status::outcome_unknown};
    }
    return reply;
}

const store_faults& platform_store::faults() const
{
    return m_faults;
}

void platform_store::set_faults(const store_faults& faults)
{
    m_faults = faults;
}

const store_stats& platform_store::stats() const
{
    return m_stats;
}

bool platform_store::admit(bool write, core_time now)
{
    const auto& rate = write ? m_faults.writes_per_second : m_faults.reads_per_second;
    auto& bucket = write ? m_write_bucket : m_read_bucket;
    return !m_faults.outage && (!rate || bucket.try_acquire(*rate, now));
}

store_reply platform_store::execute(const table_get& op)
{
    const auto it = m_rows.find(op.key);
    if (it == m_rows.end())
    {
        return {.status = store_status::not_found};
    }
    return {.version = it->second.version, .value = it->second.value};
}

store_reply platform_store::execute(const table_put& op)
{
    const auto it = m_rows.find(op.key);
    const row_version current_version = it != m_rows.end() ? it->second.version : 0;
    if (current_version != op.expected)
    {
        return {.status = store_status::conflict, .version = current_version};
    }
    m_rows[op.key] = {.value = op.value, .version = current_version + 1};
    return {.version = current_version + 1};
}

store_reply platform_store::execute(const table_list& op)
{
    store_reply reply;
    for (auto it = m_rows.lower_bound(op.prefix); it != m_rows.end() && it->first.starts_with(op.prefix);
         ++it)
    {
        reply.rows.push_back({it->first, it->second.value, it->second.version});
    }
    return reply;
}

store_reply platform_store::execute(const object_create& op)
{
    const bool inserted = m_objects.emplace(op.key, op.bytes).second;
    return {.status = inserted ? store_status::ok : store_status::conflict};
}

store_reply platform_store::execute(const object_get& op)
{
    const auto it = m_objects.find(op.key);
    if (it == m_objects.end())
    {
        return {.status = store_status::not_found};
    }
    return {.value = it->second};
}

store_reply platform_store::execute(const object_delete& op)
{
    m_objects.erase(op.key);
    return {};
}

store_reply platform_store::execute(const object_list& op)
{
    store_reply reply;
    for (auto it = m_objects.lower_bound(op.prefix);
         it != m_objects.end() && it->first.starts_with(op.prefix); ++it)
    {
        reply.rows.push_back({.key = it->first});
    }
    return reply;
}

} // namespace masticcourse::standins

#include "platform_store.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace masticcourse::standins
{

namespace
{

template <typename Op>
constexpr bool writes =
    std::is_same_v<Op, table_put> || std::is_same_v<Op, object_create> || std::is_same_v<Op, object_delete>;

/// Calls @a action with each entry whose key begins with @a prefix, in order.
template <typename Map, typename Action>
void for_each_with_prefix(const Map& map, const std::string& prefix, Action action)
{
    for (auto it = map.lower_bound(prefix); it != map.end() && it->first.starts_with(prefix); ++it)
    {
        action(*it);
    }
}

} // namespace

bool token_bucket::take(double per_second, core_time now)
{
    const std::chrono::duration<double> passed = now - m_last.value_or(now);
    m_tokens = m_last ? std::min(per_second, m_tokens + passed.count() * per_second) : per_second;
    m_last = now;
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

store_reply platform_store::apply(const store_op& op, core_time now)
{
    const bool write = std::visit([](const auto& it) { return writes<std::decay_t<decltype(it)>>; }, op);
    if (!admit(write, now))
    {
        ++m_stats.refused;
        return {.status = store_status::unavailable};
    }
    ++(write ? m_stats.writes : m_stats.reads);
    auto reply = std::visit([this](const auto& it) { return run(it); }, op);
    m_stats.conflicts += reply.status == store_status::conflict ? 1 : 0;
    if (m_faults.lose_answers > 0)
    {
        --m_faults.lose_answers;
        ++m_stats.lost_answers;
        return {.status = store_status::lost};
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
    if (m_faults.outage)
    {
        return false;
    }
    const auto& rate = write ? m_faults.writes_per_second : m_faults.reads_per_second;
    auto& bucket = write ? m_write_bucket : m_read_bucket;
    return !rate || bucket.take(*rate, now);
}

store_reply platform_store::run(const table_get& op)
{
    const auto it = m_rows.find(op.key);
    if (it == m_rows.end())
    {
        return {.status = store_status::not_found};
    }
    return {.version = it->second.version, .value = it->second.value};
}

store_reply platform_store::run(const table_put& op)
{
    const auto it = m_rows.find(op.key);
    const auto version = it == m_rows.end() ? row_version{0} : it->second.version;
    if (version != op.expected)
    {
        return {.status = store_status::conflict, .version = version};
    }
    m_rows[op.key] = {.value = op.value, .version = version + 1};
    return {.version = version + 1};
}

store_reply platform_store::run(const table_list& op)
{
    store_reply reply;
    for_each_with_prefix(
        m_rows, op.prefix,
        [&reply](const auto& it)
        { reply.rows.push_back({.key = it.first, .value = it.second.value, .version = it.second.version}); });
    return reply;
}

store_reply platform_store::run(const object_create& op)
{
    const bool created = m_objects.try_emplace(op.key, op.bytes).second;
    return {.status = created ? store_status::ok : store_status::conflict};
}

store_reply platform_store::run(const object_get& op)
{
    const auto it = m_objects.find(op.key);
    if (it == m_objects.end())
    {
        return {.status = store_status::not_found};
    }
    return {.value = it->second};
}

store_reply platform_store::run(const object_delete& op)
{
    m_objects.erase(op.key);
    return {};
}

store_reply platform_store::run(const object_list& op)
{
    store_reply reply;
    for_each_with_prefix(m_objects, op.prefix,
                         [&reply](const auto& it) { reply.rows.push_back({.key = it.first}); });
    return reply;
}

} // namespace masticcourse::standins

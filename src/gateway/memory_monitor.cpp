#include "memory_monitor.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace masticcourse::gateway
{

namespace
{

/// The cache for rows of the partitions whose commits this gateway batches gets the size of the turn cache
/// divided by this.
constexpr std::size_t row_cache_divisor = 2;
/// The caches together use at most the capacity that nothing else holds, divided by this.
constexpr std::size_t cache_room_divisor = 2;
/// Free heap is returned to the system if more than the capacity divided by this is unaccounted for.
constexpr std::size_t trim_divisor = 8;
/// Shortest time between two such returns, each of which takes milliseconds.
constexpr milliseconds trim_interval{1'000};

gauge& make_gauge(metrics_registry& metrics, const std::string& name, const std::string& help)
{
    return metrics.get_gauge(name, help);
}

std::int64_t to_gauge(std::size_t bytes)
{
    return static_cast<std::int64_t>(bytes);
}

} // namespace

memory_monitor::memory_monitor(const gateway_options& options, turn_store& turns, commit_queue& rows,
                               metrics_registry& metrics)
    : m_options(options), m_turns(turns), m_rows(rows), m_caches(options.memory, memory_use::caches),
      m_capacity(make_gauge(metrics, "masticcourse_memory_capacity_bytes",
                            "Memory that may be held for callers, targets and peers.")),
      m_resident(make_gauge(metrics, "masticcourse_memory_resident_bytes", "Resident size of the process.")),
      m_unaccounted(make_gauge(metrics, "masticcourse_memory_unaccounted_bytes",
                               "Resident memory beside the base and what the account holds."))
{
    for (std::size_t n = 0; n < memory_use_count; ++n)
    {
        const std::string use{to_string(static_cast<memory_use>(n))};
        m_held.at(n) = &metrics.get_gauge("masticcourse_memory_held_bytes",
                                          "Memory held for callers, targets and peers.", {{"use", use}});
    }
    update({});
}

void memory_monitor::update(time_point now)
{
    if (!m_options.memory || m_options.memory_bytes == 0)
    {
        return;
    }
    limit_caches();
    auto state = look();
    const bool much_unaccounted = unaccounted_memory(state) > m_options.memory->capacity() / trim_divisor;
    if (m_options.resident_memory && much_unaccounted &&
        (!m_last_trim || now - *m_last_trim >= trim_interval))
    {
        m_last_trim = now;
        trim_heap();
        state = look();
    }
    m_options.memory->set_capacity(account_capacity(state));
    report(state);
}

void memory_monitor::limit_caches()
{
    const auto& memory = *m_options.memory;
    const auto other = memory.held() - m_caches.size();
    const auto room = memory.capacity() - std::min(memory.capacity(), other);
    const auto turn_bytes = std::min(m_options.cache_bytes, room / cache_room_divisor * 2 / 3);
    m_turns.cache().set_capacity(turn_bytes);
    m_rows.set_cache_capacity(turn_bytes / row_cache_divisor);
    m_caches.set(m_turns.cache().bytes() + m_rows.cached_rows().bytes());
}

memory_state memory_monitor::look() const
{
    const auto held = m_options.memory->held();
    const auto resident = m_options.resident_memory ? m_options.resident_memory() : std::nullopt;
    return {.limit = m_options.memory_bytes,
            .base = m_options.base_memory_bytes,
            .resident = resident.value_or(m_options.base_memory_bytes + held),
            .held = held};
}

void memory_monitor::report(const memory_state& state) const
{
    m_capacity.set(to_gauge(m_options.memory->capacity()));
    m_resident.set(to_gauge(state.resident));
    m_unaccounted.set(to_gauge(unaccounted_memory(state)));
    for (std::size_t n = 0; n < memory_use_count; ++n)
    {
        m_held.at(n)->set(to_gauge(m_options.memory->held(static_cast<memory_use>(n))));
    }
}

} // namespace masticcourse::gateway

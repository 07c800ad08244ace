#include "masticcourse/telemetry/timeline.hpp"

#include "timeline_json.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace masticcourse
{

timeline::timeline(process_name process, std::size_t capacity)
    : m_process(std::move(process)), m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void timeline::record(timeline_event event)
{
    const std::lock_guard lock{m_mutex};
    event.process = m_process;
    if (m_ring.size() < m_capacity)
    {
        m_ring.push_back(std::move(event));
        return;
    }
    m_ring[m_next] = std::move(event);
    m_next = (m_next + 1) % m_capacity;
    ++m_dropped;
}

std::vector<timeline_event> timeline::events() const
{
    const std::lock_guard lock{m_mutex};
    std::vector<timeline_event> ordered;
    ordered.reserve(m_ring.size());
    std::ranges::rotate_copy(m_ring, m_ring.begin() + static_cast<std::ptrdiff_t>(m_next),
                             std::back_inserter(ordered));
    return ordered;
}

std::uint64_t timeline::dropped() const
{
    const std::lock_guard lock{m_mutex};
    return m_dropped;
}

std::string timeline::to_json() const
{
    return detail::export_to_json({m_process, dropped(), events()});
}

std::vector<timeline_event> merge_timelines(const std::vector<timeline_export>& exports)
{
    std::vector<timeline_event> merged;
    for (const auto& it : exports)
    {
        std::ranges::copy(it.events, std::back_inserter(merged));
    }
    const auto key = [](const timeline_event& event) { return std::tie(event.timestamp, event.process); };
    std::ranges::stable_sort(merged, {}, key);
    return merged;
}

} // namespace masticcourse

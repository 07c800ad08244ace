#include "masticcourse/telemetry/hlc.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

namespace
{

std::chrono::microseconds system_time()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch);
}

} // namespace

hybrid_clock::hybrid_clock() : hybrid_clock(system_time) {}

hybrid_clock::hybrid_clock(wall_clock wall) : m_wall(std::move(wall)) {}

hlc_timestamp hybrid_clock::now()
{
    return observe({});
}

hlc_timestamp hybrid_clock::observe(const hlc_timestamp& remote)
{
    const std::lock_guard lock{m_mutex};
    const hlc_timestamp latest = std::max(m_last, remote);
    const auto wall = m_wall();
    m_last = wall > latest.wall ? hlc_timestamp{wall, 0} : hlc_timestamp{latest.wall, latest.counter + 1};
    return m_last;
}

} // namespace masticcourse

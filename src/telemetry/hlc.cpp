#include "masticcourse/telemetry/hlc.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

namespace
{

std::chrono::microseconds system_wall()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch);
}

} // namespace

hybrid_clock::hybrid_clock() : hybrid_clock(system_wall) {}

hybrid_clock::hybrid_clock(wall_clock wall) : m_wall(std::move(wall)) {}

hlc_stamp hybrid_clock::now()
{
    return observe({});
}

hlc_stamp hybrid_clock::observe(const hlc_stamp& seen)
{
    const std::lock_guard lock{m_mutex};
    const hlc_stamp latest = std::max(m_last, seen);
    const auto wall = m_wall();
    m_last = wall > latest.wall ? hlc_stamp{wall, 0} : hlc_stamp{latest.wall, latest.counter + 1};
    return m_last;
}

} // namespace masticcourse

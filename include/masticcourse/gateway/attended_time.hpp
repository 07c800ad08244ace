/// @file
/// The time for which this process has been able to look at what arrives. Contains no I/O.
///
/// Load pattern: a VM gives its process a tenth of the processor, or none for seconds. A reply then waits in
/// a socket while the timer of its call expires, and the process would take whom it called for away. So what
/// follows from the lack of a reply is measured in attended time: what passes between two moments at which
/// all that had arrived has been handled counts for a short span at most, however long it was.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <algorithm>
#include <optional>

namespace masticcourse::gateway
{

class attended_time
{
  public:
    /// The longest time between two calls of tick() while the process has nothing to do.
    static constexpr milliseconds tick_interval{50};

    /// Records that all that had arrived at @a now has been handled.
    void tick(time_point now)
    {
        m_attended = at(now);
        m_last_tick = now;
    }

    /// @return the attended time at @a now; before the first tick all time counts
    [[nodiscard]] time_point at(time_point now) const
    {
        return m_last_tick ? m_attended + std::clamp<duration>(now - *m_last_tick, duration{}, max_step)
                           : now;
    }

  private:
    /// Timers fire a little late on any VM.
    static constexpr duration max_step = tick_interval * 6 / 5;

    time_point m_attended{};
    std::optional<time_point> m_last_tick;
};

/// When a call was sent, by both clocks.
struct call_start
{
    time_point wall;
    time_point attended;
};

/// @return whether this process looked long enough at a call without a reply to conclude that there is none
[[nodiscard]] inline bool was_attended(const call_start& start, const call_start& now)
{
    // A reply takes several passes of the event loop to be read.
    constexpr milliseconds enough{300};
    const auto attended = now.attended - start.attended;
    return attended >= std::min<duration>(enough, (now.wall - start.wall) / 2);
}

} // namespace masticcourse::gateway

/// @file
/// Clock and time types of the gateway. The monotonic clock is read once per event and the time is passed on
/// as a parameter, so that tests can use virtual time.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>

namespace masticcourse::gateway
{

using time_point = core_time;
using duration = core_duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
/// Wall-clock time of another machine. Clocks may differ between machines: only times of the same machine can
/// be compared.
using wall_time = std::chrono::sys_time<milliseconds>;

/// @return the current monotonic time
[[nodiscard]] inline time_point monotonic_now()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(elapsed)};
}

/// @return the monotonic time since the VM was booted, including the time that it was suspended
[[nodiscard]] time_point boottime_now();

} // namespace masticcourse::gateway

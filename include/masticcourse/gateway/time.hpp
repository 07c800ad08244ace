/// @file
/// The gateway's clock: monotonic, read once per event and handed on, so that tests set it.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>

namespace masticcourse::gateway
{

using time_point = core_time;
using duration = core_duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
/// The time of day as other machines tell it. It may differ between them: only times of one machine compare.
using wall_time = std::chrono::sys_time<milliseconds>;

/// @return the monotonic time of this process
[[nodiscard]] inline time_point monotonic_now()
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(elapsed)};
}

/// @return the monotonic time of this VM, which also passes while the VM is suspended
[[nodiscard]] time_point boot_time_now();

} // namespace masticcourse::gateway

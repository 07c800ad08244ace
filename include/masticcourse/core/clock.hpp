/// @file
/// The clock of the control cores: monotonic, and set from outside so that tests run in virtual time.
#pragma once

#include <chrono>
#include <ratio>

namespace masticcourse
{

/// Names the time line of the control cores. It has no `now()`: every step of a core is told the time.
struct core_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using core_duration = core_clock::duration;
using core_time = core_clock::time_point;

} // namespace masticcourse

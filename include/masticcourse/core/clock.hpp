/// @file
/// The clock of the control cores. It is monotonic, and callers pass in the current time, so that tests can
/// run in virtual time.
#pragma once

#include <chrono>
#include <ratio>

namespace masticcourse
{

/// Clock type of the control cores. There is no `now()`: each step takes the current time as an argument.
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

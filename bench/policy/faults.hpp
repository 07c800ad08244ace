/// @file
/// The faults that a run may meet, and when.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace masticcourse::bench
{

enum class fault_kind : std::uint8_t
{
    none,
    /// One target's engine runs at a tenth of its speed.
    slow,
    /// One target's machine is lost, and comes back empty.
    dies,
    /// One target drains, and comes back.
    leaves,
    /// One target answers most calls with an error, at once.
    errors,
    /// All targets of one failure domain are lost, and come back empty.
    domain,
    /// No reports and no cache events arrive from any target.
    silence,
};

struct fault_plan
{
    fault_kind kind = fault_kind::none;
    std::string name;
    core_time begins{};
    core_time ends{};
};

} // namespace masticcourse::bench

/// @file
/// The measurements: each runs small worlds of several sizes and gives what it counted at each.
#pragma once

#include "slope.hpp"

#include <vector>

namespace masticcourse::capacity
{

/// Bytes that an entry's or a target's core holds, per program, turn, shard, target and link.
[[nodiscard]] std::vector<measurement> measure_memory();

/// Control messages, bytes, steps and store operations a second while no call runs.
[[nodiscard]] std::vector<measurement> measure_rest();

/// What calls cost: messages, bytes, processor time, store writes.
[[nodiscard]] std::vector<measurement> measure_calls();

/// What it costs when an owner dies, and when the configuration changes.
[[nodiscard]] std::vector<measurement> measure_changes();

} // namespace masticcourse::capacity

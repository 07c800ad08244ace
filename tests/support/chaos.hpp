/// @file
/// Randomised runs of the real cores: agents work while entries, targets, connections and the store fail.
#pragma once

#include "caller_agent.hpp"
#include "system_world.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticcourse::tests
{

/// What one run is made of.
struct chaos_options
{
    std::uint64_t seed = 1;
    std::size_t agents = 10;
    std::uint32_t turns = 40;
    core_duration model_time = std::chrono::milliseconds{200};
    core_duration tool_time = std::chrono::milliseconds{150};
    /// How long faults go on, and the mean time between two.
    core_duration trouble = std::chrono::seconds{20};
    core_duration mean_gap = std::chrono::milliseconds{600};
    core_duration longest = std::chrono::minutes{10};
    /// Keep all events, not only the latest.
    bool keep_trace = false;
};

/// What came of it.
struct chaos_report
{
    std::vector<std::string> violations;
    std::string trace;
    std::uint64_t faults = 0;
    std::uint64_t turns = 0;
    std::uint64_t unknown_turns = 0;
    /// Turns told as pending and lost with both processes that had them.
    std::uint64_t pending_lost = 0;
    std::uint64_t refusals = 0;
    std::uint64_t takeovers = 0;
    core_duration elapsed{};
};

[[nodiscard]] chaos_report run_chaos(const chaos_options& options);

} // namespace masticcourse::tests

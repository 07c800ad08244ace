/// @file
/// The programs of the policy benchmark: both deployments' mixes, drawn from a seed before anything runs, so
/// that every policy meets the same arrivals.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::bench
{

/// What a program does between two model calls.
struct pause_plan
{
    /// The tool that it calls, or `caller` while a person thinks.
    service_name tool;
    core_duration length{};
    bool idempotent = true;
    /// The tool never answers; the call ends by its timeout.
    bool hung = false;
    /// What a second attempt would take.
    core_duration second_length{};
};

/// One model call.
struct turn_plan
{
    token_count input = 0;
    token_count answer = 0;
    token_count max_tokens = 0;
    pause_plan pause;
    /// Sub-agents that run during the pause; the next turn waits for the last of them.
    std::vector<std::size_t> children;
};

struct program_plan
{
    program_id id;
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// When the program arrives; a sub-agent begins when its parent's turn ends.
    core_time arrival{};
    bool is_child = false;
    /// When it has to be done, for those that say so.
    std::optional<core_time> deadline;
    std::vector<turn_plan> turns;
    /// Engine time with all of its history cached, with all sub-agents.
    core_duration work{};
    /// Latency on an idle machine.
    core_duration ideal{};
    /// The part of @a ideal that is pauses.
    core_duration paused{};
};

/// What the engine of the benchmark can do; `work` and `ideal` are counted with it.
struct engine_cost
{
    double prefill_rate = 8'000;
    core_duration decode_step = std::chrono::milliseconds{15};
    core_duration decode_step_per_sequence = std::chrono::microseconds{500};
    std::uint32_t max_running = 16;
};

/// The names of the mixes: `atlas`, `urad`, and `held_out`, which no tuning was done on.
struct workload_options
{
    std::string_view mix = "atlas";
    std::uint64_t seed = 1;
    /// Offered load as a part of what the engines could do with all histories cached and full batches.
    double load = 0.9;
    std::size_t targets = 10;
    /// How long programs arrive.
    core_duration arrivals = std::chrono::seconds{600};
};

/// @return the programs in order of arrival, sub-agents at the end
/// @throws std::invalid_argument for an unknown mix
[[nodiscard]] std::vector<program_plan> make_workload(const workload_options& options);

} // namespace masticcourse::bench

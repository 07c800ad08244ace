/// @file
/// The systems that the benchmark compares: this project's decisions, with single rules taken out, and the
/// baselines.
#pragma once

#include "masticcourse/policy/cache_retention.hpp"
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/overload.hpp"
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticcourse::bench
{

/// One way to run the fleet. A member without a value is a rule that this system lacks.
struct system_options
{
    std::string name;
    placement_options placement;
    /// All steps zero: first come, first served.
    queue_order order;
    /// None: the engine gets all calls as they arrive.
    std::optional<engine_limits> admission;
    std::optional<overload_options> overload;
    std::optional<retention_options> retention;
    /// Lagging reports are corrected by the home's own work since.
    bool correct_reports = true;
    /// Sub-agents are placed with their parent's prefix in mind.
    bool share_with_children = true;
    bool breaker = true;
    bool retry_budget = true;
    bool hedge = true;
    /// Of each engine. A worker of eight accelerators has to hold a history of 300,000 tokens beside others.
    token_count cache_capacity = 600'000;
};

/// @return the whole of this project's decisions
[[nodiscard]] system_options masticcourse_system();

/// @return round robin, least load, sticky, and first come first served
[[nodiscard]] std::vector<system_options> baseline_systems();

/// @return this project's decisions, each time without one rule
[[nodiscard]] std::vector<system_options> ablated_systems();

} // namespace masticcourse::bench

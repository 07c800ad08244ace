#include "system_options.hpp"

#include <utility>

namespace masticcourse::bench
{

namespace
{

queue_order first_come()
{
    return {.class_delay = {},
            .attained_delay = {},
            .max_attained_delay = {},
            .workspace_delay = {},
            .max_workspace_delay = {},
            .deadline_margin = {}};
}

/// A fleet without a scheduler: calls go straight to the engines.
system_options bare(std::string name, placement_policy policy)
{
    system_options options;
    options.name = std::move(name);
    options.placement.policy = policy;
    options.order = first_come();
    options.correct_reports = false;
    options.share_with_children = false;
    options.breaker = false;
    options.retry_budget = false;
    options.hedge = false;
    return options;
}

template <typename Change>
system_options without(const char* rule, Change change)
{
    system_options options = masticcourse_system();
    options.name = std::string{"without "} + rule;
    change(options);
    return options;
}

template <typename Change>
system_options with(const char* rule, Change change)
{
    system_options options = without(rule, change);
    options.name = std::string{"with "} + rule;
    return options;
}

earliest_finish& finish_policy(system_options& options)
{
    return std::get<earliest_finish>(options.placement.policy);
}

} // namespace

system_options masticcourse_system()
{
    system_options options;
    options.name = "masticcourse";
    options.placement.policy = earliest_finish{};
    options.admission = engine_limits{};
    options.overload = overload_options{};
    return options;
}

std::vector<system_options> baseline_systems()
{
    system_options fcfs = masticcourse_system();
    fcfs.name = "first come first served";
    fcfs.order = first_come();
    fcfs.overload.reset();
    fcfs.admission.reset();
    return {bare("round robin", round_robin{}), bare("least load", least_load{}), bare("sticky", sticky{}),
            fcfs};
}

std::vector<system_options> ablated_systems()
{
    return {
        without("recompute weight", [](auto& it) { finish_policy(it).recompute_weight = 1; }),
        without("report correction", [](auto& it) { it.correct_reports = false; }),
        without("shared prefixes of sub-agents", [](auto& it) { it.share_with_children = false; }),
        without("class order", [](auto& it) { it.order.class_delay = {}; }),
        without("attained service", [](auto& it) { it.order.attained_delay = {}; }),
        without("workspace fairness", [](auto& it) { it.order.workspace_delay = {}; }),
        without("engine admission", [](auto& it) { it.admission.reset(); }),
        without("edge admission", [](auto& it) { it.overload.reset(); }),
        with("retention", [](auto& it) { it.retention = retention_options{}; }),
        without("breaker", [](auto& it) { it.breaker = false; }),
        without("retry budget", [](auto& it) { it.retry_budget = false; }),
        with("prefix moves", [](auto& it) { finish_policy(it).transfer_rate = 50'000; }),
        without("hedges", [](auto& it) { it.hedge = false; }),
    };
}

} // namespace masticcourse::bench

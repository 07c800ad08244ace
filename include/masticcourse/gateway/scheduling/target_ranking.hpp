/// @file
/// Placement by expected finish: pure functions over estimates of the targets.
///
/// Load pattern: targets of unequal and changing speed, prompts that are long and partly cached, and many
/// gateways with the same slightly outdated view, which must not all choose the same target.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace masticcourse::gateway
{

/// What is known of one candidate at the time of the choice.
struct target_estimate
{
    const target* entry = nullptr;
    /// Requests running or waiting at the target, of all gateways.
    double load = 0;
    /// Duration of work relative to a typical target.
    double time_factor = 1;
    /// Prompt tokens that the target is assumed to have cached.
    token_count cached_tokens = 0;
};

/// The request to place.
struct placement_request
{
    /// Tokens to prefill if nothing is cached; zero for plain services.
    token_count prompt_tokens = 0;
    token_count expected_output = 0;
    /// Tokens at the start of the prompt that other sessions share. A target that has more than these cached
    /// is the one that the session has used; without a value, no target is known to be.
    std::optional<token_count> shared_tokens;
    /// Requests with the same key prefer the same target among those that are equally good; empty for none.
    std::string_view affinity;
    /// Name of the choosing gateway; ranks equally good targets if there is no affinity.
    std::string_view chooser;
    failure_domain_name preferred_domain;
    /// Age of the view of other gateways' requests in the estimates; zero if it is exact. Other gateways are
    /// assumed to have replaced the requests that have ended within that time, and to have placed them as
    /// this request is placed, so that gateways with the same view don't fill the same targets.
    duration view_age{};
    /// Requests that other gateways are expected to have sent to the candidates within that time, if more
    /// than have ended.
    double unseen_requests = 0;
};

/// Durations at a typical target of the service.
struct placement_costs
{
    /// Time until the first output token with nothing to prefill.
    duration first_event{};
    duration prefill_token{};
    duration output_token{};
    /// Whole response of a plain service.
    duration response{};
    /// Additional time of a request to another failure domain.
    duration cross_domain{};
    /// Response to a typical request, without waiting, which is what the requests in a queue take; if zero,
    /// they are assumed to be like the request to be placed.
    duration typical_duration{};
};

/// The chosen target.
struct placed_target
{
    const target* entry = nullptr;
    /// Expected time until the response is complete.
    duration expected_finish{};
    /// Expected time until the target starts the request.
    duration expected_wait{};
};

/// @return the expected time until the target would start a new request; zero if it has a free slot
[[nodiscard]] duration expected_wait(const target_estimate& it, const placement_request& request,
                                     const placement_costs& costs);
/// @return the expected time until the target would complete a new request
[[nodiscard]] duration expected_finish(const target_estimate& it, const placement_request& request,
                                       const placement_costs& costs);

/// Chooses the target with the earliest expected finish, where prefill that another candidate would save
/// costs more than its duration. Targets whose finish differs by less than the uncertainty of the view are
/// equally good: those that have most of the prompt cached are preferred, then those in the preferred failure
/// domain if the request has no affinity, and the rest is left to rendezvous hashing.
/// @return nothing if there are no candidates
[[nodiscard]] std::optional<placed_target> choose_by_finish(std::span<const target_estimate> candidates,
                                                            const placement_request& request,
                                                            const placement_costs& costs);

} // namespace masticcourse::gateway

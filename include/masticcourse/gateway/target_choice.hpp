/// @file
/// Where a request goes: pure decisions over the target table.
///
/// Load pattern: hundreds of gateways and targets in several failure domains. Spread over all of them, each
/// gateway opens connections to nearly every target for a few requests each, and most prompts and answers
/// cross domains. Within one domain the same work goes over a fraction of the pairs; a domain whose targets
/// are busy or lost spills over to the others.
#pragma once

#include "masticcourse/gateway/target_table.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// What is to be placed.
struct selection_criteria
{
    /// What is best kept together, such as a program whose prompt a target has cached; empty if nothing is.
    std::string_view affinity;
    /// Its targets come first; empty if no domain does.
    failure_domain_name preferred_domain;
    /// Targets that this request was sent to already.
    std::span<const target_id> tried;
    /// Differs from one request to the next; breaks ties.
    std::uint64_t sequence = 0;
};

/// Chooses a target: with an affinity by rendezvous hashing, first among those of the preferred domain that
/// are not clearly busier than the least busy one; otherwise the least busy one, of the preferred domain
/// unless another is clearly less busy. Targets that are avoided come last.
/// @param candidates in order of their ids
/// @return null if none is left
[[nodiscard]] const target* choose_target(std::span<const target* const> candidates,
                                          const selection_criteria& criteria, time_point now);

} // namespace masticcourse::gateway

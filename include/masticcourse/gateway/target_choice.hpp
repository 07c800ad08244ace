/// @file
/// Target selection: pure functions over the target table.
///
/// Load pattern: hundreds of gateways and targets in several failure domains. If requests were spread over
/// all targets, each gateway would open connections to nearly every target for a few requests each, and most
/// prompts and responses would cross failure domains. Preferring the local failure domain needs connections
/// between only a fraction of the pairs; if the targets of a domain are busy or lost, its requests go to the
/// other domains. Among equally loaded targets each gateway prefers its own few, for the same reason: it uses
/// more of them only as its requests overlap.
#pragma once

#include "masticcourse/gateway/target_table.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// The properties of a request that determine its target.
struct selection_criteria
{
    /// Requests with the same key prefer the same target, such as those of a program whose prompt the target
    /// has cached; empty for no affinity.
    std::string_view affinity;
    /// Targets in this failure domain are preferred; empty for no preference.
    failure_domain_name preferred_domain;
    /// Targets that this request has already been sent to.
    std::span<const target_id> tried;
    /// Name of the choosing gateway. It ranks equally loaded targets, so that a gateway reuses its
    /// connections while different gateways prefer different targets.
    std::string_view chooser;
};

/// Selects a target. With an affinity key: by rendezvous hashing over the targets that are not much busier
/// than the least loaded one, those in the preferred domain first. Without: the least loaded target, where
/// targets in other domains must be clearly less loaded to be selected. Targets in backoff are used only if
/// no other is left.
/// @param candidates sorted by id
/// @return null if all candidates have been tried
[[nodiscard]] const target* choose_target(std::span<const target* const> candidates,
                                          const selection_criteria& criteria, time_point now);

} // namespace masticcourse::gateway

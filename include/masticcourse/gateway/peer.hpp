/// @file
/// A gateway as others know it, and how gateways are ranked for the work that they do for each other.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <string>
#include <string_view>

namespace masticcourse::gateway
{

struct peer
{
    /// "ip:port"
    std::string address;
    /// CPU allotment in cores; weights the share of work that it does for other gateways.
    double cores = 1;
    /// Empty if unknown.
    failure_domain_name domain{};
};

/// @return whether the VM has enough CPU to do work for other gateways. Others do so only if no VM has more,
/// because they could not keep up with the requests.
[[nodiscard]] bool has_min_cores(const peer& it);

/// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): peers are selected in proportion to their
/// weights, and when a peer leaves, only its keys are reassigned.
/// @return the rank of a peer for @a key; depends on nothing but the two
[[nodiscard]] double rendezvous_score(const peer& it, std::string_view key);

} // namespace masticcourse::gateway

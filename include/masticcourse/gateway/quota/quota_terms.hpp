/// @file
/// Division of a workspace's quota into slices. Each slice is a token bucket held by one gateway; the other
/// gateways acquire batches of permits from it ahead of their requests. The requests sent with these permits
/// stay within the quota and its tolerance over any time span, even if slices change hands or batches are
/// lost or used late.
#pragma once

#include "masticcourse/gateway/access/workspace_directory.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>

namespace masticcourse::gateway
{

/// Tolerance for exceeding a quota. Over any time span of length `window`, a workspace sends at most
/// (rate * window + burst) * (1 + overage) + slack requests.
struct quota_rule
{
    milliseconds window{1'000};
    double overage = 0;
    /// In requests.
    double slack = 0;

    friend bool operator==(const quota_rule&, const quota_rule&) = default;
};

/// Maximum number of slices per workspace. If one holder fails, the remaining slices still carry the usual
/// load.
inline constexpr std::size_t max_slices = 4;

struct slice_limits
{
    /// Number of slices of the workspace.
    std::size_t count = 1;
    /// Requests per second of one slice.
    double rate = 0;
    /// Capacity of one slice, in requests.
    double burst = 1;
    /// How long a permit is valid, counted from when it was requested.
    milliseconds permit_lifetime{};
};

/// Requests arrive in bursts at individual slices, so the tolerance beyond the quota increases the burst of
/// the slices; the sum of their rates never exceeds the rate of the quota.
/// @return limits under which all slices of a quota together comply with the rule. A permit that is used late
/// counts in a window that began after it was granted, so the window is extended by the permit lifetime.
[[nodiscard]] slice_limits slice_limits_for(const request_quota& quota, const quota_rule& rule);

} // namespace masticcourse::gateway

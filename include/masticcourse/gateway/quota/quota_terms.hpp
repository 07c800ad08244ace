/// @file
/// How a workspace's quota is cut into slices. Each slice is a token bucket that one gateway holds; the
/// others draw portions from it ahead of their requests. What portions allow together stays within the quota
/// over any span of time, whoever holds a slice next and whatever becomes of a portion.
#pragma once

#include "masticcourse/gateway/access/workspace_directory.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>

namespace masticcourse::gateway
{

/// How far the requests of a workspace may exceed its quota: over any span of `window` at most
/// (rate * window + burst) * (1 + overage) + slack.
struct quota_rule
{
    milliseconds window{1'000};
    double overage = 0;
    /// Requests.
    double slack = 0;

    friend bool operator==(const quota_rule&, const quota_rule&) = default;
};

/// The most slices of one workspace. With one holder gone, the others still carry what is usual.
inline constexpr std::size_t max_slices = 4;

struct slice_limits
{
    /// Slices of the workspace.
    std::size_t count = 1;
    /// Requests a second of one slice.
    double rate = 0;
    /// The most requests that one slice saves up.
    double burst = 1;
    /// How long after it was asked for a portion may be used.
    milliseconds permit_lifetime{};
};

/// Requests come in bursts to one slice or another, so what the rule tolerates beyond the quota makes the
/// slices' bursts larger; their rates together are never above the quota's.
/// @return the terms under which all slices of a quota together keep the rule: a portion that is used late
/// counts in a window that began after it was handed out, so the window is reckoned longer by a portion's
/// life
[[nodiscard]] slice_limits slice_limits_for(const request_quota& quota, const quota_rule& rule);

} // namespace masticcourse::gateway

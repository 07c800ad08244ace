#include "masticcourse/gateway/quota/quota_terms.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// A shorter life would let most of what is drawn ahead lapse; a longer one takes as much from the burst.
constexpr real_seconds shortest_life{0.1};
constexpr real_seconds longest_life{0.5};

} // namespace

slice_terms terms_of(const request_quota& quota, const quota_rule& rule)
{
    const auto window = real_seconds{rule.window}.count();
    const auto stated = quota.rate * window + quota.burst;
    const auto allowed = stated * (1 + rule.overage) + rule.slack;
    const auto life = std::clamp(real_seconds{(allowed - stated) / quota.rate}, shortest_life, longest_life);
    const auto reckoned = window + life.count();
    const auto burst = std::max(1.0, allowed - quota.rate * reckoned);
    const auto rate = std::min(quota.rate, std::max(0.0, allowed - burst) / reckoned);
    const auto count = std::min(most_slices, static_cast<std::size_t>(burst));
    const auto slices = static_cast<double>(count);
    return {.count = count,
            .rate = rate / slices,
            .burst = burst / slices,
            .portion_life = std::chrono::floor<milliseconds>(life)};
}

} // namespace masticcourse::gateway

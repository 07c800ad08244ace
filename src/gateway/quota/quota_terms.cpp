#include "masticcourse/gateway/quota/quota_terms.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// With a shorter lifetime most prefetched permits would expire unused; a longer lifetime reduces the burst
/// accordingly.
constexpr real_seconds min_permit_lifetime{0.1};
constexpr real_seconds max_permit_lifetime{0.5};

} // namespace

slice_limits slice_limits_for(const request_quota& quota, const quota_rule& rule)
{
    const auto window = real_seconds{rule.window}.count();
    const auto nominal = quota.rate * window + quota.burst;
    const auto allowed = nominal * (1 + rule.overage) + rule.slack;
    const auto lifetime =
        std::clamp(real_seconds{(allowed - nominal) / quota.rate}, min_permit_lifetime, max_permit_lifetime);
    const auto effective_window = window + lifetime.count();
    const auto burst = std::max(1.0, allowed - quota.rate * effective_window);
    const auto rate = std::min(quota.rate, std::max(0.0, allowed - burst) / effective_window);
    const auto count = std::min(max_slices, static_cast<std::size_t>(burst));
    const auto slices = static_cast<double>(count);
    return {.count = count,
            .rate = rate / slices,
            .burst = burst / slices,
            .permit_lifetime = std::chrono::floor<milliseconds>(lifetime)};
}

} // namespace masticcourse::gateway

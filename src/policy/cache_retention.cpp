#include "masticcourse/policy/cache_retention.hpp"

#include <algorithm>
#include <functional>

namespace masticcourse
{

namespace
{

using seconds = std::chrono::duration<double>;

token_count fraction_of(token_count total, double fraction)
{
    return static_cast<token_count>(static_cast<double>(total) * fraction);
}

bool transfer_is_cheaper(const paused_prefix& prefix, const engine_cache_state& cache,
                         const retention_options& options)
{
    if (cache.transfer_rate <= 0 || cache.prefill_rate <= 0 || prefix.tokens > cache.destination_free_tokens)
    {
        return false;
    }
    const auto tokens = static_cast<double>(prefix.tokens);
    const double transfer_seconds = tokens / cache.transfer_rate + seconds{options.transfer_overhead}.count();
    return transfer_seconds < tokens / cache.prefill_rate;
}

} // namespace

std::vector<retention_action> plan_retention(std::span<const paused_prefix> paused,
                                             const engine_cache_state& cache,
                                             const retention_options& options)
{
    std::vector<retention_action> actions;
    if (cache.used <= fraction_of(cache.capacity, options.high_watermark))
    {
        return actions;
    }
    std::vector<paused_prefix> candidates{paused.begin(), paused.end()};
    std::ranges::stable_sort(candidates, std::greater{}, &paused_prefix::expected_remaining);
    token_count excess = cache.used - fraction_of(cache.capacity, options.low_watermark);
    auto remaining_cache = cache;
    for (const auto& prefix : candidates)
    {
        if (excess <= 0)
        {
            break;
        }
        const bool transfers = transfer_is_cheaper(prefix, remaining_cache, options);
        remaining_cache.destination_free_tokens -= transfers ? prefix.tokens : 0;
        actions.push_back(
            {prefix.program, transfers ? retention_decision::transfer : retention_decision::evict});
        excess -= prefix.tokens;
    }
    return actions;
}

} // namespace masticcourse

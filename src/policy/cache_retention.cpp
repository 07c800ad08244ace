#include "masticcourse/policy/cache_retention.hpp"

#include <algorithm>
#include <functional>

namespace masticcourse
{

namespace
{

using seconds = std::chrono::duration<double>;

token_count part_of(token_count whole, double part)
{
    return static_cast<token_count>(static_cast<double>(whole) * part);
}

bool move_is_cheaper(const paused_prefix& prefix, const cache_memory& memory,
                     const retention_options& options)
{
    if (memory.transfer_rate <= 0 || memory.prefill_rate <= 0 || prefix.tokens > memory.free_elsewhere)
    {
        return false;
    }
    const auto tokens = static_cast<double>(prefix.tokens);
    const double move = tokens / memory.transfer_rate + seconds{options.move_overhead}.count();
    return move < tokens / memory.prefill_rate;
}

} // namespace

std::vector<retention_action> plan_retention(std::span<const paused_prefix> paused,
                                             const cache_memory& memory, const retention_options& options)
{
    std::vector<retention_action> actions;
    if (memory.used <= part_of(memory.capacity, options.high_mark))
    {
        return actions;
    }
    std::vector<paused_prefix> order{paused.begin(), paused.end()};
    std::ranges::stable_sort(order, std::greater{}, &paused_prefix::expected_rest);
    token_count excess = memory.used - part_of(memory.capacity, options.low_mark);
    auto left = memory;
    for (const auto& prefix : order)
    {
        if (excess <= 0)
        {
            break;
        }
        const bool moves = move_is_cheaper(prefix, left, options);
        left.free_elsewhere -= moves ? prefix.tokens : 0;
        actions.push_back({prefix.program, moves ? retention::move : retention::drop});
        excess -= prefix.tokens;
    }
    return actions;
}

} // namespace masticcourse

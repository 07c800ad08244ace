#include "masticcourse/policy/overload.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse
{

namespace
{

core_duration limit_for(const admission_query& query, const overload_options& options)
{
    if (!query.first_turn)
    {
        return options.running_limit;
    }
    const double share = std::pow(options.class_share, static_cast<double>(query.priority));
    return core_duration{
        static_cast<core_duration::rep>(static_cast<double>(options.new_limit.count()) * share)};
}

core_duration retry_in(core_duration excess, const overload_options& options)
{
    return std::clamp(excess, options.shortest_retry, options.longest_retry);
}

} // namespace

std::optional<core_duration> refuse_for(const admission_query& query, const service_backlog& backlog,
                                        const overload_options& options)
{
    if (backlog.targets == 0)
    {
        return options.shortest_retry;
    }
    const core_duration limit = limit_for(query, options);
    if (backlog.backlog > limit)
    {
        return retry_in(backlog.backlog - limit, options);
    }
    const core_duration finish = backlog.backlog + query.estimated_cost;
    if (query.remaining && finish > *query.remaining)
    {
        return retry_in(finish - *query.remaining, options);
    }
    return std::nullopt;
}

} // namespace masticcourse

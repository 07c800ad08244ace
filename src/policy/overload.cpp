#include "masticcourse/policy/overload.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse
{

namespace
{

core_duration backlog_limit(const admission_query& query, const overload_options& options)
{
    if (!query.first_turn)
    {
        return options.running_program_limit;
    }
    const double factor = std::pow(options.class_factor, static_cast<double>(query.priority));
    return core_duration{
        static_cast<core_duration::rep>(static_cast<double>(options.new_program_limit.count()) * factor)};
}

core_duration clamped_retry_after(core_duration excess, const overload_options& options)
{
    return std::clamp(excess, options.min_retry_after, options.max_retry_after);
}

} // namespace

std::optional<core_duration> overload_retry_after(const admission_query& query,
                                                  const service_backlog& backlog,
                                                  const overload_options& options)
{
    if (backlog.usable_targets == 0)
    {
        return options.min_retry_after;
    }
    const core_duration limit = backlog_limit(query, options);
    if (backlog.drain_time > limit)
    {
        return clamped_retry_after(backlog.drain_time - limit, options);
    }
    const core_duration finish_time = backlog.drain_time + query.estimated_duration;
    if (query.time_to_deadline && finish_time > *query.time_to_deadline)
    {
        return clamped_retry_after(finish_time - *query.time_to_deadline, options);
    }
    return std::nullopt;
}

} // namespace masticcourse

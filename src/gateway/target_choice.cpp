#include "masticcourse/gateway/target_choice.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How much more utilized than the least loaded target the affinity target may be, in batches. Among many
/// engines with few slots one is nearly always idle: a smaller slack would scatter programs over the targets
/// under load.
constexpr double affinity_slack = 1.0;
/// How much less utilized a target in another failure domain must be to be selected, in batches. Requests
/// wait hardly longer with it, and fewer gateway-target pairs need connections.
constexpr double cross_domain_penalty = 0.5;
/// Added to the utilization of a target that is still warming up after its start, in batches.
constexpr double warmup_penalty = 0.25;

double effective_utilization(const target& it, const selection_criteria& criteria, time_point now)
{
    const double cross_domain = it.record.domain == criteria.preferred_domain ? 0 : cross_domain_penalty;
    const double warmup = it.record.warmup_remaining.count() > 0 ? warmup_penalty : 0;
    return it.utilization(now) + cross_domain + warmup;
}

const target* choose_least_loaded(const std::vector<const target*>& targets,
                                  const selection_criteria& criteria, time_point now)
{
    const auto rank = [&](const target* it) {
        return std::pair{effective_utilization(*it, criteria, now), rendezvous_weight(criteria.chooser, *it)};
    };
    return *std::ranges::min_element(targets, {}, rank);
}

const target* choose_by_affinity(std::vector<const target*> targets, const selection_criteria& criteria,
                                 time_point now)
{
    const auto utilization = [now](const target* it) { return it->utilization(now); };
    const auto limit = utilization(*std::ranges::min_element(targets, {}, utilization)) + affinity_slack;
    std::erase_if(targets, [&](const target* it) { return utilization(it) > limit; });
    const auto is_cross_domain = [&](const target* it)
    { return it->record.domain != criteria.preferred_domain; };
    if (!std::ranges::all_of(targets, is_cross_domain))
    {
        std::erase_if(targets, is_cross_domain);
    }
    const auto weight = [&](const target* it) { return rendezvous_weight(criteria.affinity, *it); };
    return *std::ranges::max_element(targets, {}, weight);
}

} // namespace

const target* choose_target(std::span<const target* const> candidates, const selection_criteria& criteria,
                            time_point now)
{
    std::vector<const target*> remaining;
    std::ranges::copy_if(candidates, std::back_inserter(remaining),
                         [&](const target* it) {
                             return std::ranges::find(criteria.tried, it->record.id) == criteria.tried.end();
                         });
    if (remaining.empty())
    {
        return nullptr;
    }
    const auto avoided = [now](const target* it) { return it->backoff_until > now; };
    if (!std::ranges::all_of(remaining, avoided))
    {
        std::erase_if(remaining, avoided);
    }
    return criteria.affinity.empty() ? choose_least_loaded(remaining, criteria, now)
                                     : choose_by_affinity(std::move(remaining), criteria, now);
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/target_choice.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// How many batches busier than the least busy target a program's own one may be. Among many engines with
/// few places one is nearly always idle: a smaller slack would scatter the programs of busy hours.
constexpr double affinity_slack = 1.0;
/// Batches by which a target in another failure domain must be less busy. A request waits hardly longer for
/// it, and fewer pairs of gateway and target need connections.
constexpr double domain_margin = 0.5;
/// Batches by which a target still warming up after its start counts as busier.
constexpr double warming_margin = 0.25;

std::uint64_t rendezvous_weight(std::string_view key, const target& it)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(it.record.id.value.data(), it.record.id.value.size(), seed);
}

double busyness(const target& it, const choice_query& query, time_point now)
{
    const double foreign = it.record.domain == query.preferred_domain ? 0 : domain_margin;
    const double warming = it.record.warming.count() > 0 ? warming_margin : 0;
    return it.fill(now) + foreign + warming;
}

const target* least_busy(const std::vector<const target*>& targets, const choice_query& query, time_point now)
{
    // The tie is broken by the request's number, so that equal targets take turns.
    const auto rank = [&](const target* it)
    {
        const auto& id = it->record.id.value;
        return std::pair{busyness(*it, query, now),
                         XXH3_64bits_withSeed(id.data(), id.size(), query.sequence)};
    };
    return *std::ranges::min_element(targets, {}, rank);
}

const target* by_affinity(std::vector<const target*> targets, const choice_query& query, time_point now)
{
    const auto fill = [now](const target* it) { return it->fill(now); };
    const auto bound = fill(*std::ranges::min_element(targets, {}, fill)) + affinity_slack;
    std::erase_if(targets, [&](const target* it) { return fill(it) > bound; });
    const auto is_far = [&](const target* it) { return it->record.domain != query.preferred_domain; };
    if (!std::ranges::all_of(targets, is_far))
    {
        std::erase_if(targets, is_far);
    }
    const auto weight = [&](const target* it) { return rendezvous_weight(query.affinity, *it); };
    return *std::ranges::max_element(targets, {}, weight);
}

} // namespace

const target* choose_target(std::span<const target* const> candidates, const choice_query& query,
                            time_point now)
{
    std::vector<const target*> left;
    std::ranges::copy_if(candidates, std::back_inserter(left),
                         [&](const target* it)
                         { return std::ranges::find(query.tried, it->record.id) == query.tried.end(); });
    if (left.empty())
    {
        return nullptr;
    }
    const auto avoided = [now](const target* it) { return it->avoided_until > now; };
    if (!std::ranges::all_of(left, avoided))
    {
        std::erase_if(left, avoided);
    }
    return query.affinity.empty() ? least_busy(left, query, now) : by_affinity(std::move(left), query, now);
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/scheduling/target_ranking.hpp"

#include "../rendezvous.hpp"
#include "finish_model.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <utility>
#include <vector>

namespace masticcourse::gateway
{

namespace
{

/// Difference of expected finishes that does not matter, as a fraction of the earliest one. The load of a
/// target changes by up to two or three requests within the age of a view, each of which shifts the finish by
/// about 5%.
constexpr double finish_uncertainty = 0.15;
/// Expected number of requests that arrive at a target before this one and are in no view: a target that has
/// one free slot may have none when the request arrives.
constexpr double unseen_arrivals = 0.5;
/// A session stays at its target until the cost there exceeds the least one by this fraction: moving back and
/// forth with each change of the view costs more prefill than it saves time.
constexpr double session_preference = 0.5;
/// Fraction of the prompt that a target must have cached to be preferred among equally good ones.
constexpr double preferred_cached_fraction = 0.5;
/// Fraction of the ended requests of programs that are replaced by requests which may go to any target. Most
/// programs send their next turn to the same target.
constexpr double replaced_at_any_target = 0.4;
/// Lower limit of the uncertainty, the resolution of the durations.
constexpr real_seconds min_uncertainty{1e-6};

duration to_duration(real_seconds value)
{
    return std::chrono::duration_cast<duration>(value);
}

/// A candidate with the values that are compared.
struct ranked_target
{
    const target_estimate* estimate = nullptr;
    real_seconds cost{};
    double free_slots = 0;
    double slots = 0;
    /// Requests per second that the target completes when it is busy.
    double drain_rate = 0;
    token_count cached = 0;
    bool preferred_domain = false;

    /// @return the number of requests that the target can take until its cost exceeds @a level
    [[nodiscard]] double room_below(real_seconds level) const
    {
        return cost <= level ? free_slots + (level - cost).count() * drain_rate : 0;
    }
};

bool any_target(const ranked_target& /*it*/)
{
    return true;
}

/// The choice for one request.
class finish_choice
{
  public:
    finish_choice(std::span<const target_estimate> candidates, const placement_request& request,
                  const placement_costs& costs)
        : m_candidates(candidates), m_request(request), m_model(request, costs)
    {
        rank();
    }

    [[nodiscard]] const target_estimate* choose()
    {
        set_limits();
        if (!keep_cached())
        {
            std::erase_if(m_ranked, [this](const auto& it) { return it.cost > m_limit; });
        }
        if (m_request.affinity.empty())
        {
            keep_preferred_domain();
        }
        return choose_by_rendezvous();
    }

  private:
    /// @return the number of other gateways' requests at a target which have ended since the view was made.
    /// This gateway's own requests are known exactly.
    [[nodiscard]] double ended(const target_estimate& it) const
    {
        const auto typical = m_model.typical_duration(it);
        const double fraction = typical.count() > 0 ? std::min(m_request.view_age / typical, 1.0) : 1.0;
        const double others = std::max(it.load - it.entry->in_flight, 0.0);
        return std::min(others, m_model.running(it, it.load)) * std::max(fraction, 0.0);
    }

    /// @return the fraction of the ended requests whose successors may be at any target; those of the others
    /// are at the same target
    [[nodiscard]] double replaced_fraction() const
    {
        const double all_ended =
            std::transform_reduce(m_candidates.begin(), m_candidates.end(), 0.0, std::plus<>{},
                                  [this](const auto& it) { return ended(it); });
        const double minimum = m_request.affinity.empty() ? 1.0 : replaced_at_any_target;
        return all_ended > 0 ? std::clamp(m_request.unseen_requests / all_ended, minimum, 1.0) : minimum;
    }

    void rank()
    {
        token_count most_cached = 0;
        for (const auto& it : m_candidates)
        {
            most_cached = std::max(most_cached, m_model.cached(it));
        }
        const double fraction = replaced_fraction();
        double all_replaced = 0;
        m_ranked.reserve(m_candidates.size());
        for (const auto& it : m_candidates)
        {
            const double replaced = ended(it) * fraction;
            const double load = it.load - replaced;
            all_replaced += replaced;
            const double slots = m_model.slots(it);
            const double typical = m_model.typical_duration(it).count();
            m_ranked.push_back({.estimate = &it,
                                .cost = m_model.cost(it, load + unseen_arrivals, most_cached),
                                .free_slots = std::max(slots - load, 0.0),
                                .slots = slots,
                                .drain_rate = typical > 0 ? slots / typical : 0,
                                .cached = m_model.cached(it),
                                .preferred_domain = m_model.in_preferred_domain(it)});
        }
        // In steady state, as many requests arrive as end.
        m_unseen_requests = std::max(m_request.unseen_requests, all_replaced);
        m_total_slots = sum_over(any_target, &ranked_target::slots);
        m_preferred_slots = sum_over(&ranked_target::preferred_domain, &ranked_target::slots);
    }

    /// Adds up a value of the targets for which a predicate is true.
    template <typename Predicate, typename Value>
    [[nodiscard]] double sum_over(Predicate includes, Value value) const
    {
        return std::transform_reduce(m_ranked.begin(), m_ranked.end(), 0.0, std::plus<>{},
                                     [&](const auto& it)
                                     { return std::invoke(includes, it) ? std::invoke(value, it) : 0.0; });
    }

    template <typename Predicate>
    [[nodiscard]] double room_below(real_seconds level, Predicate includes) const
    {
        return sum_over(includes, [level](const auto& it) { return it.room_below(level); });
    }

    /// Sets the cost up to which targets are equally good: the least one plus the uncertainty, or more if the
    /// unseen requests don't find room below that.
    void set_limits()
    {
        const auto& best = *std::ranges::min_element(m_ranked, {}, &ranked_target::cost);
        m_best = best.cost;
        m_tolerance = std::max(m_best * finish_uncertainty, min_uncertainty);
        m_limit = m_best + m_tolerance;
        if (best.drain_rate > 0 && room_below(m_limit, any_target) < m_unseen_requests)
        {
            m_limit = level_with_room(m_limit, m_limit + real_seconds{m_unseen_requests / best.drain_rate});
        }
    }

    /// @return the least cost between @a low and @a high below which the unseen requests find room
    [[nodiscard]] real_seconds level_with_room(real_seconds low, real_seconds high) const
    {
        // Halving ten times gives a precision of a thousandth of the range.
        for (int n = 0; n < 10; ++n)
        {
            const auto level = (low + high) / 2;
            (room_below(level, any_target) < m_unseen_requests ? low : high) = level;
        }
        return high;
    }

    /// @return the cost up to which a target is preferred that has @a tokens cached
    [[nodiscard]] real_seconds limit_of_holder(token_count tokens) const
    {
        if (m_request.shared_tokens && tokens > *m_request.shared_tokens)
        {
            return std::max(m_limit, m_best * (1 + session_preference));
        }
        const bool most_of_prompt = static_cast<double>(tokens) >=
                                    static_cast<double>(m_request.prompt_tokens) * preferred_cached_fraction;
        return tokens > 0 && most_of_prompt ? m_best + m_tolerance : real_seconds{};
    }

    /// Only the targets that have the most tokens cached remain if they are good enough.
    /// @return whether they are
    [[nodiscard]] bool keep_cached()
    {
        const auto rank = [](const auto& it) { return std::pair{-it.cached, it.cost}; };
        const auto holder = *std::ranges::min_element(m_ranked, {}, rank);
        if (holder.cost > limit_of_holder(holder.cached))
        {
            return false;
        }
        m_limit = std::max(m_limit, holder.cost);
        std::erase_if(m_ranked,
                      [&](const auto& it) { return it.cached < holder.cached || it.cost > m_limit; });
        return true;
    }

    /// Only the targets in the preferred failure domain remain if they have room for their share of the
    /// unseen requests.
    void keep_preferred_domain()
    {
        const auto is_preferred = std::mem_fn(&ranked_target::preferred_domain);
        const double share = m_unseen_requests * m_preferred_slots / m_total_slots;
        if (std::ranges::any_of(m_ranked, is_preferred) && room_below(m_limit, is_preferred) >= share)
        {
            std::erase_if(m_ranked, std::not_fn(is_preferred));
        }
    }

    /// Relative frequency at which equally good targets are to be chosen.
    [[nodiscard]] double frequency(const ranked_target& it) const
    {
        // Not zero, so that the last remaining target is chosen in any case.
        constexpr double minimum = 1e-6;
        // In proportion to room, as other gateways make the same choice at the same time. Otherwise in equal
        // shares, so that turns of one program meet at the same target; less towards the limit, so that small
        // differences between views change few choices.
        constexpr double slope = 2;
        const double frequency = m_unseen_requests > 0
                                     ? it.room_below(m_limit)
                                     : std::min(1.0, slope * (m_limit - it.cost) / m_tolerance);
        return std::max(frequency, minimum);
    }

    /// Weighted rendezvous hashing. Without affinity, a target counts as another one for each request that
    /// the gateway has in flight there: one after another, requests use the same connection, and concurrent
    /// ones spread.
    [[nodiscard]] const target_estimate* choose_by_rendezvous() const
    {
        const bool by_gateway = m_request.affinity.empty();
        const rendezvous_key key{by_gateway ? m_request.chooser : m_request.affinity};
        const auto score = [&](const ranked_target& it)
        {
            const auto& entry = *it.estimate->entry;
            const auto hash = key.weight(entry, by_gateway ? entry.in_flight : 0);
            // Maps the hash to the open interval from 0 to 1.
            const double uniform = std::ldexp(static_cast<double>(hash >> 11U) + 0.5, -53);
            return -frequency(it) / std::log(uniform);
        };
        return std::ranges::max_element(m_ranked, {}, score)->estimate;
    }

    std::span<const target_estimate> m_candidates;
    const placement_request& m_request;
    finish_model m_model;
    std::vector<ranked_target> m_ranked;
    /// Requests that other gateways have sent to the candidates since the view was made.
    double m_unseen_requests = 0;
    double m_total_slots = 0;
    double m_preferred_slots = 0;
    real_seconds m_best{};
    real_seconds m_tolerance{};
    real_seconds m_limit{};
};

} // namespace

duration expected_wait(const target_estimate& it, const placement_request& request,
                       const placement_costs& costs)
{
    return to_duration(finish_model{request, costs}.wait(it, it.load));
}

duration expected_finish(const target_estimate& it, const placement_request& request,
                         const placement_costs& costs)
{
    return to_duration(finish_model{request, costs}.finish(it, it.load));
}

std::optional<placed_target> choose_by_finish(std::span<const target_estimate> candidates,
                                              const placement_request& request, const placement_costs& costs)
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    const auto* const chosen = finish_choice{candidates, request, costs}.choose();
    return placed_target{chosen->entry, expected_finish(*chosen, request, costs),
                         expected_wait(*chosen, request, costs)};
}

} // namespace masticcourse::gateway

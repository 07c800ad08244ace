#include "masticcourse/gateway/scheduling/target_ranking.hpp"

#include "../rendezvous.hpp"
#include "masticcourse/policy/engine_costs.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <vector>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// Time factors outside of this range are errors of measurement.
constexpr double min_time_factor = 0.1;
constexpr double max_time_factor = 10;
/// Fraction by which a full batch lengthens the responses of a plain service. Spreads a gateway's requests
/// over several targets.
constexpr double full_batch_slowdown = 0.12;
/// Difference of expected finishes that does not matter, as a fraction of the earliest one. The load of a
/// target changes by a request or two within the age of a view, which shifts the finish by about this much.
constexpr double finish_uncertainty = 0.1;
/// Expected number of requests that arrive at a target before this one and are in no view: a target that has
/// one free slot may have none when the request arrives.
constexpr double unseen_arrivals = 0.5;
/// Cost of prefill that another target would save, relative to its duration, at an idle target: it evicts
/// what others have cached.
constexpr double recompute_weight = 1.5;
/// Additional weight for each running request, whose output is delayed by a part of the prefill.
constexpr double recompute_weight_per_request = 0.25;
/// Maximum cost of recomputation beyond its duration, as a fraction of the finish. With more, a program would
/// stay with its prompt's cache at a target that takes twice as long as another.
constexpr double max_recompute_penalty = 0.5;
/// Fraction of the prompt that a target must have cached to be preferred among equally good ones.
constexpr double preferred_cached_fraction = 0.5;
/// Assumed duration of a request while none is known, so that targets are compared by load.
constexpr milliseconds unknown_duration{100};
/// Lower limit of the uncertainty, the resolution of the durations.
constexpr real_seconds min_uncertainty{1e-6};

core_duration to_duration(real_seconds value)
{
    return std::chrono::duration_cast<core_duration>(value);
}

/// Estimates for one request at any target.
class finish_model
{
  public:
    finish_model(const placement_request& request, const placement_costs& costs)
        : m_request(request), m_costs(costs)
    {
        if (is_plain() && costs.response <= duration::zero())
        {
            m_costs.response = unknown_duration;
        }
        if (costs.first_event + costs.prefill_token + costs.output_token <= duration::zero())
        {
            m_costs.first_event = unknown_duration;
        }
    }

    [[nodiscard]] static double slots(const target_estimate& it)
    {
        return std::max(1U, it.entry->record.slots);
    }

    [[nodiscard]] static double running(const target_estimate& it, double load)
    {
        return std::clamp(load, 0.0, slots(it));
    }

    [[nodiscard]] static double time_factor(const target_estimate& it)
    {
        return std::clamp(it.time_factor, min_time_factor, max_time_factor);
    }

    /// How long a request in the queue of this target runs.
    [[nodiscard]] real_seconds typical_duration(const target_estimate& it) const
    {
        const real_seconds typical = m_costs.typical_duration > duration::zero()
                                         ? real_seconds{m_costs.typical_duration}
                                         : idle_duration(it);
        return typical * time_factor(it);
    }

    [[nodiscard]] real_seconds wait(const target_estimate& it, double load) const
    {
        const double ends_needed = load - slots(it) + 1;
        if (ends_needed <= 0)
        {
            return {};
        }
        // The running requests are at random points of their course: the first of n ends after 1 / (n + 1) of
        // a duration on average, later ones at intervals of 1 / n.
        const double first = std::min(ends_needed, 1.0) / (slots(it) + 1);
        const double later = std::max(ends_needed - 1, 0.0) / slots(it);
        return typical_duration(it) * (first + later);
    }

    [[nodiscard]] real_seconds finish(const target_estimate& it, double load) const
    {
        return wait(it, load) + service_time(it, load) + network_time(it);
    }

    /// The finish plus the cost of prefill that other requests bear.
    /// @param saved_elsewhere tokens that another candidate has cached
    [[nodiscard]] real_seconds cost(const target_estimate& it, double load, token_count saved_elsewhere) const
    {
        const auto finish_time = finish(it, load);
        const auto recomputed = std::max<token_count>(saved_elsewhere - cached(it), 0);
        const auto time = to_duration(prefill(recomputed) * time_factor(it));
        const double weight = recompute_weight + recompute_weight_per_request * running(it, load);
        const real_seconds penalty = recompute_penalty(time, weight);
        return finish_time + std::min(penalty, finish_time * max_recompute_penalty);
    }

    [[nodiscard]] token_count cached(const target_estimate& it) const
    {
        return std::clamp<token_count>(it.cached_tokens, 0,
                                       std::max<token_count>(m_request.prompt_tokens, 0));
    }

    [[nodiscard]] bool in_preferred_domain(const target_estimate& it) const
    {
        return it.entry->record.domain == m_request.preferred_domain;
    }

  private:
    [[nodiscard]] bool is_plain() const
    {
        return m_request.prompt_tokens <= 0 && m_request.expected_output <= 0;
    }

    [[nodiscard]] real_seconds prefill(token_count tokens) const
    {
        return real_seconds{m_costs.prefill_token} * static_cast<double>(tokens);
    }

    [[nodiscard]] real_seconds prefill_of_rest(const target_estimate& it) const
    {
        return prefill(std::max<token_count>(m_request.prompt_tokens, 0) - cached(it));
    }

    [[nodiscard]] real_seconds output() const
    {
        const auto tokens = std::max<token_count>(m_request.expected_output, 0);
        return real_seconds{m_costs.output_token} * static_cast<double>(tokens);
    }

    /// Duration at an idle target of typical speed.
    [[nodiscard]] real_seconds idle_duration(const target_estimate& it) const
    {
        return is_plain() ? real_seconds{m_costs.response}
                          : real_seconds{m_costs.first_event} + prefill_of_rest(it) + output();
    }

    [[nodiscard]] real_seconds service_time(const target_estimate& it, double load) const
    {
        const double batch = running(it, load);
        if (is_plain())
        {
            return m_costs.response * decode_step_factor(batch / slots(it), full_batch_slowdown) *
                   time_factor(it);
        }
        const auto output_time = output() * decode_step_factor(batch);
        return (m_costs.first_event + prefill_of_rest(it) + output_time) * time_factor(it);
    }

    [[nodiscard]] real_seconds network_time(const target_estimate& it) const
    {
        const bool crosses = !m_request.preferred_domain.empty() && !in_preferred_domain(it);
        return crosses ? real_seconds{m_costs.cross_domain} : real_seconds{};
    }

    const placement_request& m_request;
    placement_costs m_costs;
};

/// A candidate with the figures that are compared.
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
        m_limit = cost_limit();
        std::erase_if(m_ranked, [this](const auto& it) { return it.cost > m_limit; });
        keep_cached();
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

    void rank()
    {
        token_count most_cached = 0;
        for (const auto& it : m_candidates)
        {
            most_cached = std::max(most_cached, m_model.cached(it));
        }
        double all_ended = 0;
        m_ranked.reserve(m_candidates.size());
        for (const auto& it : m_candidates)
        {
            const double ended_requests = ended(it);
            const double load = it.load - ended_requests;
            all_ended += ended_requests;
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
        m_unseen_requests = std::max(m_request.unseen_requests, all_ended);
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

    /// @return the cost up to which targets are equally good: the least one plus the uncertainty, or more if
    /// the unseen requests don't find room below that
    [[nodiscard]] real_seconds cost_limit()
    {
        const auto& best = *std::ranges::min_element(m_ranked, {}, &ranked_target::cost);
        m_tolerance = std::max(best.cost * finish_uncertainty, min_uncertainty);
        auto low = best.cost + m_tolerance;
        if (best.drain_rate <= 0 || room_below(low, any_target) >= m_unseen_requests)
        {
            return low;
        }
        auto high = low + real_seconds{m_unseen_requests / best.drain_rate};
        // Halving ten times gives a precision of a thousandth of the range.
        for (int n = 0; n < 10; ++n)
        {
            const auto level = (low + high) / 2;
            (room_below(level, any_target) < m_unseen_requests ? low : high) = level;
        }
        return high;
    }

    /// Among equally good targets, only those that have most of the prompt cached remain, if there are any.
    void keep_cached()
    {
        const auto most = std::ranges::max_element(m_ranked, {}, &ranked_target::cached)->cached;
        if (most > 0 && static_cast<double>(most) >=
                            static_cast<double>(m_request.prompt_tokens) * preferred_cached_fraction)
        {
            std::erase_if(m_ranked, [most](const auto& it) { return it.cached < most; });
        }
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

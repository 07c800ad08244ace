#include "masticcourse/policy/placement.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <type_traits>
#include <vector>

namespace masticcourse
{

namespace
{

using seconds = std::chrono::duration<double>;

/// The estimate for one candidate.
struct estimate
{
    std::size_t target = 0;
    core_duration finish{};
    /// What is compared: the finish with the weights of the policy.
    core_duration cost{};
    std::optional<std::size_t> move_from;
};

core_duration to_core(seconds duration)
{
    return std::chrono::duration_cast<core_duration>(duration);
}

core_duration time_for(token_count tokens, double rate)
{
    return to_core(seconds{static_cast<double>(std::max<token_count>(tokens, 0)) / rate});
}

double prefill_rate(const target_view& target, const placement_options& options)
{
    return target.report.prefill_rate > 0 ? target.report.prefill_rate : options.default_prefill_rate;
}

double decode_rate(const target_view& target, const placement_options& options)
{
    return target.report.decode_rate > 0 ? target.report.decode_rate : options.default_decode_rate;
}

token_count shared(token_count tokens, double part)
{
    return static_cast<token_count>(static_cast<double>(tokens) * part);
}

/// The part of a home's own calls at a target that finds no place in its batch.
double waiting_share(const target_view& target, const placement_options& options)
{
    const auto calls = static_cast<double>(target.in_flight);
    return calls > options.batch ? (calls - options.batch) / calls : 0;
}

token_count cached_at(const placement_query& query, std::size_t target)
{
    const auto it = std::ranges::find(query.cached, target, &cached_on::target);
    return it == query.cached.end() ? 0 : std::min(it->tokens, query.prompt_tokens);
}

/// The longest prefix held by a target that can still export it.
cached_on longest_prefix(const placement_query& query, std::span<const target_view> targets)
{
    cached_on best{.target = targets.size()};
    for (const auto& it : query.cached)
    {
        if (it.target < targets.size() && it.tokens > best.tokens)
        {
            best = it;
        }
    }
    return best;
}

/// Chooses by expected finish.
class finish_chooser
{
  public:
    finish_chooser(const placement_query& query, std::span<const target_view> targets, core_time now,
                   const placement_options& options, const expected_finish& policy)
        : m_query(query), m_targets(targets), m_now(now), m_options(options), m_policy(policy),
          m_longest(longest_prefix(query, targets))
    {
    }

    [[nodiscard]] std::optional<placement_choice> choose()
    {
        std::ranges::for_each(m_query.cached, [this](const auto& it) { consider(it.target); });
        if (m_query.last)
        {
            consider(*m_query.last);
        }
        consider_sample();
        if (!m_best)
        {
            // None of the sample can be used: look at all before giving up.
            consider_from(0, m_targets.size());
        }
        if (!m_best)
        {
            return std::nullopt;
        }
        return placement_choice{m_best->target, m_best->finish, m_best->move_from};
    }

  private:
    void consider_sample()
    {
        const std::size_t all = m_targets.size();
        if (m_policy.sample == 0 || all <= m_policy.sample)
        {
            consider_from(0, all);
            return;
        }
        const std::size_t seed =
            std::hash<program_id>{}(m_query.program) + m_query.sequence * m_policy.sample;
        consider_from(seed % all, m_policy.sample);
    }

    void consider_from(std::size_t first, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            consider((first + n) % m_targets.size());
        }
    }

    void consider(std::size_t index)
    {
        if (index >= m_targets.size() || !m_targets[index].usable)
        {
            return;
        }
        const estimate candidate = estimate_at(index);
        if (!m_best || better(candidate, *m_best))
        {
            m_best = candidate;
        }
    }

    [[nodiscard]] estimate estimate_at(std::size_t index) const
    {
        const auto& target = m_targets[index];
        const token_count cached = cached_at(m_query, index);
        const core_duration prefill =
            time_for(m_query.prompt_tokens - cached, prefill_rate(target, m_options));
        const core_duration again = time_for(m_longest.tokens - cached, prefill_rate(target, m_options));
        const core_duration base = expected_queue(target, m_now, m_options) + decode_time(target);
        const core_duration extra = to_core(seconds{again} * (m_policy.recompute_weight - 1));
        estimate result{index, base + prefill, base + prefill + std::max(extra, core_duration::zero()), {}};
        consider_move(result, again);
        return result;
    }

    /// The time of the answer in the batch that it joins.
    [[nodiscard]] core_duration decode_time(const target_view& target) const
    {
        const std::uint32_t beside = std::max(target.report.running, target.in_flight);
        const double rate = decode_rate(target, m_options) / m_options.batch;
        return to_core(seconds{time_for(m_query.expected_completion, rate)} *
                       (1 + m_options.batch_slowdown * beside));
    }

    /// Replaces computing the longest prefix again by moving it, where that is cheaper.
    void consider_move(estimate& at, core_duration again) const
    {
        if (m_policy.transfer_rate <= 0 || m_longest.target == at.target || m_longest.tokens == 0)
        {
            return;
        }
        const core_duration move =
            time_for(m_longest.tokens, m_policy.transfer_rate) + m_policy.transfer_overhead;
        if (move >= again || !m_targets[m_longest.target].usable)
        {
            return;
        }
        at.finish += move - again;
        // A move takes time from two engines and leaves a copy behind.
        at.cost = at.finish + to_core(seconds{move} * (m_policy.recompute_weight - 1));
        at.move_from = m_longest.target;
    }

    [[nodiscard]] bool better(const estimate& a, const estimate& b) const
    {
        if (a.cost != b.cost)
        {
            return a.cost < b.cost;
        }
        if (a.target == m_query.last || b.target == m_query.last)
        {
            return a.target == m_query.last;
        }
        const bool a_near = m_targets[a.target].failure_domain == m_query.own_domain;
        const bool b_near = m_targets[b.target].failure_domain == m_query.own_domain;
        return a_near && !b_near;
    }

    const placement_query& m_query;
    std::span<const target_view> m_targets;
    core_time m_now;
    const placement_options& m_options;
    const expected_finish& m_policy;
    cached_on m_longest;
    std::optional<estimate> m_best;
};

std::optional<placement_choice> next_in_turn(const placement_query& query,
                                             std::span<const target_view> targets)
{
    for (std::size_t n = 0; n < targets.size(); ++n)
    {
        const std::size_t index = (query.sequence + n) % targets.size();
        if (targets[index].usable)
        {
            return placement_choice{.target = index};
        }
    }
    return std::nullopt;
}

std::optional<placement_choice> least_loaded(std::span<const target_view> targets)
{
    std::optional<placement_choice> best;
    auto least = std::numeric_limits<std::uint32_t>::max();
    for (std::size_t index = 0; index < targets.size(); ++index)
    {
        const auto& target = targets[index];
        const std::uint32_t load = target.report.queued + target.report.running;
        if (target.usable && load < least)
        {
            least = load;
            best = placement_choice{.target = index};
        }
    }
    return best;
}

std::optional<placement_choice> same_again(const placement_query& query, std::span<const target_view> targets)
{
    if (query.last && *query.last < targets.size() && targets[*query.last].usable)
    {
        return placement_choice{.target = *query.last};
    }
    return least_loaded(targets);
}

} // namespace

core_duration expected_queue(const target_view& target, core_time now, const placement_options& options)
{
    const core_duration age = now - target.reported;
    const bool fresh = age <= options.report_lifetime;
    // Without a report only calls beyond a full batch are known to wait; the others may well be running.
    const double waiting = fresh ? 1 : waiting_share(target, options);
    const token_count prefill =
        (fresh ? target.report.queued_prefill : 0) + shared(target.in_flight_prefill, waiting);
    const token_count decode =
        (fresh ? target.report.queued_decode : 0) + shared(target.in_flight_decode, waiting);
    const core_duration drained = fresh ? age : core_duration::zero();
    const core_duration work =
        time_for(prefill, prefill_rate(target, options)) + time_for(decode, decode_rate(target, options));
    return std::max(work - drained, core_duration::zero());
}

std::optional<placement_choice> choose_target(const placement_query& query,
                                              std::span<const target_view> targets, core_time now,
                                              const placement_options& options)
{
    return std::visit(
        [&](const auto& policy) -> std::optional<placement_choice>
        {
            using policy_type = std::decay_t<decltype(policy)>;
            if constexpr (std::is_same_v<policy_type, expected_finish>)
            {
                return finish_chooser{query, targets, now, options, policy}.choose();
            }
            else if constexpr (std::is_same_v<policy_type, round_robin>)
            {
                return next_in_turn(query, targets);
            }
            else if constexpr (std::is_same_v<policy_type, least_load>)
            {
                return least_loaded(targets);
            }
            else
            {
                return same_again(query, targets);
            }
        },
        options.policy);
}

} // namespace masticcourse

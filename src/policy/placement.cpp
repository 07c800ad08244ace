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

/// Estimate for one candidate target.
struct estimate
{
    std::size_t target = 0;
    core_duration finish_time{};
    /// The value compared between candidates: the finish time with the weights of the policy applied.
    core_duration cost{};
    std::optional<std::size_t> transfer_from;
};

core_duration to_core_duration(seconds duration)
{
    return std::chrono::duration_cast<core_duration>(duration);
}

core_duration processing_time(token_count tokens, double rate)
{
    return to_core_duration(seconds{static_cast<double>(std::max<token_count>(tokens, 0)) / rate});
}

double prefill_rate(const target_view& target, const placement_options& options)
{
    return target.report.prefill_rate > 0 ? target.report.prefill_rate : options.default_prefill_rate;
}

double decode_rate(const target_view& target, const placement_options& options)
{
    return target.report.decode_rate > 0 ? target.report.decode_rate : options.default_decode_rate;
}

token_count scaled_tokens(token_count tokens, double fraction)
{
    return static_cast<token_count>(static_cast<double>(tokens) * fraction);
}

/// Fraction of this process's calls at a target that do not fit in its batch.
double queued_fraction(const target_view& target, const placement_options& options)
{
    const auto calls = static_cast<double>(target.in_flight);
    return calls > options.batch_size ? (calls - options.batch_size) / calls : 0;
}

token_count cached_at(const placement_query& query, std::size_t target)
{
    const auto it = std::ranges::find(query.cached, target, &cached_prefix::target);
    return it == query.cached.end() ? 0 : std::min(it->tokens, query.prompt_tokens);
}

/// The longest cached prefix held by one of @a targets. Whether that target can still export it is checked
/// by `consider_transfer`.
cached_prefix longest_prefix(const placement_query& query, std::span<const target_view> targets)
{
    cached_prefix best{.target = targets.size()};
    for (const auto& it : query.cached)
    {
        if (it.target < targets.size() && it.tokens > best.tokens)
        {
            best = it;
        }
    }
    return best;
}

/// Selects a target by the `earliest_finish` policy.
class earliest_finish_selector
{
  public:
    earliest_finish_selector(const placement_query& query, std::span<const target_view> targets,
                             core_time now, const placement_options& options, const earliest_finish& policy)
        : m_query(query), m_targets(targets), m_now(now), m_options(options), m_policy(policy),
          m_longest_prefix(longest_prefix(query, targets))
    {
    }

    [[nodiscard]] std::optional<placement_choice> select()
    {
        std::ranges::for_each(m_query.cached, [this](const auto& it) { consider(it.target); });
        if (m_query.previous_target)
        {
            consider(*m_query.previous_target);
        }
        consider_sample();
        if (!m_best)
        {
            // No target of the sample is usable: consider all of them.
            consider_range(0, m_targets.size());
        }
        if (!m_best)
        {
            return std::nullopt;
        }
        return placement_choice{m_best->target, m_best->finish_time, m_best->transfer_from};
    }

  private:
    void consider_sample()
    {
        const std::size_t target_count = m_targets.size();
        if (m_policy.sample_size == 0 || target_count <= m_policy.sample_size)
        {
            consider_range(0, target_count);
            return;
        }
        const std::size_t seed =
            std::hash<program_id>{}(m_query.program) + m_query.sequence * m_policy.sample_size;
        consider_range(seed % target_count, m_policy.sample_size);
    }

    void consider_range(std::size_t first, std::size_t count)
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
        if (!m_best || is_better(candidate, *m_best))
        {
            m_best = candidate;
        }
    }

    [[nodiscard]] estimate estimate_at(std::size_t index) const
    {
        const auto& target = m_targets[index];
        const token_count cached = cached_at(m_query, index);
        const core_duration prefill =
            processing_time(m_query.prompt_tokens - cached, prefill_rate(target, m_options));
        const core_duration recompute_time =
            processing_time(m_longest_prefix.tokens - cached, prefill_rate(target, m_options));
        const core_duration base = expected_queue_delay(target, m_now, m_options) + decode_time(target);
        const core_duration penalty = recompute_penalty(recompute_time, m_policy.recompute_weight);
        estimate result{index, base + prefill, base + prefill + penalty, {}};
        consider_transfer(result, recompute_time);
        return result;
    }

    /// Decode time of the answer in the batch that it joins.
    [[nodiscard]] core_duration decode_time(const target_view& target) const
    {
        const std::uint32_t concurrent_calls = std::max(target.report.running, target.in_flight);
        const double rate = decode_rate(target, m_options) / m_options.batch_size;
        return to_core_duration(seconds{processing_time(m_query.expected_completion_tokens, rate)} *
                                decode_step_factor(concurrent_calls, m_options.batch_slowdown));
    }

    /// Replaces recomputing the longest prefix by transferring it, where that is cheaper.
    void consider_transfer(estimate& candidate, core_duration recompute_time) const
    {
        if (m_policy.transfer_rate <= 0 || m_longest_prefix.target == candidate.target ||
            m_longest_prefix.tokens == 0)
        {
            return;
        }
        const core_duration transfer_time =
            processing_time(m_longest_prefix.tokens, m_policy.transfer_rate) + m_policy.transfer_overhead;
        if (transfer_time >= recompute_time || !m_targets[m_longest_prefix.target].usable)
        {
            return;
        }
        candidate.finish_time += transfer_time - recompute_time;
        // A transfer takes time on two engines and leaves a copy at the source, hence the weight.
        candidate.cost = candidate.finish_time +
                         to_core_duration(seconds{transfer_time} * (m_policy.recompute_weight - 1));
        candidate.transfer_from = m_longest_prefix.target;
    }

    [[nodiscard]] bool is_better(const estimate& a, const estimate& b) const
    {
        if (a.cost != b.cost)
        {
            return a.cost < b.cost;
        }
        if (a.target == m_query.previous_target || b.target == m_query.previous_target)
        {
            return a.target == m_query.previous_target;
        }
        const bool a_is_local = m_targets[a.target].failure_domain == m_query.local_domain;
        const bool b_is_local = m_targets[b.target].failure_domain == m_query.local_domain;
        return a_is_local && !b_is_local;
    }

    const placement_query& m_query;
    std::span<const target_view> m_targets;
    core_time m_now;
    const placement_options& m_options;
    const earliest_finish& m_policy;
    cached_prefix m_longest_prefix;
    std::optional<estimate> m_best;
};

std::optional<placement_choice> choose_round_robin(const placement_query& query,
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

std::optional<placement_choice> choose_least_loaded(std::span<const target_view> targets)
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

std::optional<placement_choice> choose_sticky(const placement_query& query,
                                              std::span<const target_view> targets)
{
    if (query.previous_target && *query.previous_target < targets.size() &&
        targets[*query.previous_target].usable)
    {
        return placement_choice{.target = *query.previous_target};
    }
    return choose_least_loaded(targets);
}

} // namespace

core_duration expected_queue_delay(const target_view& target, core_time now, const placement_options& options)
{
    const core_duration age = now - target.report_time;
    const bool fresh = age <= options.report_lifetime;
    // Without a fresh report, only calls beyond a full batch are known to be queued; the others may be
    // running.
    const double queued_share = fresh ? 1 : queued_fraction(target, options);
    const token_count prefill =
        (fresh ? target.report.queued_prefill : 0) + scaled_tokens(target.in_flight_prefill, queued_share);
    const token_count decode =
        (fresh ? target.report.queued_decode : 0) + scaled_tokens(target.in_flight_decode, queued_share);
    const core_duration drained_time = fresh ? age : core_duration::zero();
    const core_duration work = processing_time(prefill, prefill_rate(target, options)) +
                               processing_time(decode, decode_rate(target, options));
    return std::max(work - drained_time, core_duration::zero());
}

std::optional<placement_choice> choose_target(const placement_query& query,
                                              std::span<const target_view> targets, core_time now,
                                              const placement_options& options)
{
    return std::visit(
        [&](const auto& policy) -> std::optional<placement_choice>
        {
            using policy_type = std::decay_t<decltype(policy)>;
            if constexpr (std::is_same_v<policy_type, earliest_finish>)
            {
                return earliest_finish_selector{query, targets, now, options, policy}.select();
            }
            else if constexpr (std::is_same_v<policy_type, round_robin>)
            {
                return choose_round_robin(query, targets);
            }
            else if constexpr (std::is_same_v<policy_type, least_load>)
            {
                return choose_least_loaded(targets);
            }
            else
            {
                return choose_sticky(query, targets);
            }
        },
        options.policy);
}

} // namespace masticcourse

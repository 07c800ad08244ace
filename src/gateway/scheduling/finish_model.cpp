#include "finish_model.hpp"

#include "masticcourse/policy/engine_costs.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

/// Time factors outside of this range are errors of measurement.
constexpr double min_time_factor = 0.1;
constexpr double max_time_factor = 10;
/// Fraction by which a full batch lengthens the responses of a plain service. Spreads a gateway's requests
/// over several targets.
constexpr double full_batch_slowdown = 0.12;
/// Fraction by which each running request lengthens the output of the others through its chunks of prefill,
/// in addition to its share of the decode steps.
constexpr double prefill_slowdown = 0.03;
/// Cost of prefill that another target would save, relative to its duration, at an idle target: it evicts
/// what others have cached.
constexpr double recompute_weight = 1.5;
/// Additional weight for each running request, whose output is delayed by a part of the prefill.
constexpr double recompute_weight_per_request = 0.25;
/// Maximum cost of recomputation beyond its duration, as a fraction of the finish. With more, a session would
/// stay at a target that takes twice as long as another.
constexpr double max_recompute_penalty = 0.3;
/// Assumed duration of a request while none is known, so that targets are compared by load.
constexpr milliseconds unknown_duration{100};

double time_factor(const target_estimate& it)
{
    return std::max(min_time_factor, std::min(max_time_factor, it.time_factor));
}

} // namespace

finish_model::finish_model(const placement_request& request, const placement_costs& costs)
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

double finish_model::slots(const target_estimate& it)
{
    return std::max(1U, it.entry->record.slots);
}

double finish_model::running(const target_estimate& it, double load)
{
    return std::clamp(load, 0.0, slots(it));
}

real_seconds finish_model::typical_duration(const target_estimate& it) const
{
    const real_seconds typical = m_costs.typical_duration > duration::zero()
                                     ? real_seconds{m_costs.typical_duration}
                                     : idle_duration(it);
    return typical * time_factor(it);
}

real_seconds finish_model::wait(const target_estimate& it, double load) const
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

real_seconds finish_model::finish(const target_estimate& it, double load) const
{
    return wait(it, load) + service_time(it, load) + network_time(it);
}

real_seconds finish_model::cost(const target_estimate& it, double load, token_count cached_elsewhere) const
{
    const auto finish_time = finish(it, load);
    const auto recomputed = std::max<token_count>(cached_elsewhere - cached(it), 0);
    const auto time = std::chrono::duration_cast<core_duration>(prefill(recomputed) * time_factor(it));
    const double weight = recompute_weight + recompute_weight_per_request * running(it, load);
    const real_seconds penalty = recompute_penalty(time, weight);
    return finish_time + std::min(penalty, finish_time * max_recompute_penalty);
}

token_count finish_model::cached(const target_estimate& it) const
{
    return std::clamp<token_count>(it.cached_tokens, 0, std::max<token_count>(m_request.prompt_tokens, 0));
}

bool finish_model::in_preferred_domain(const target_estimate& it) const
{
    return it.entry->record.domain == m_request.preferred_domain;
}

bool finish_model::is_plain() const
{
    return m_request.prompt_tokens <= 0 && m_request.expected_output <= 0;
}

real_seconds finish_model::prefill(token_count tokens) const
{
    return real_seconds{m_costs.prefill_token} * static_cast<double>(tokens);
}

real_seconds finish_model::uncached_prefill(const target_estimate& it) const
{
    return prefill(std::max<token_count>(m_request.prompt_tokens, 0) - cached(it));
}

real_seconds finish_model::output() const
{
    const auto tokens = std::max<token_count>(m_request.expected_output, 0);
    return real_seconds{m_costs.output_token} * static_cast<double>(tokens);
}

real_seconds finish_model::idle_duration(const target_estimate& it) const
{
    return is_plain() ? real_seconds{m_costs.response}
                      : real_seconds{m_costs.first_event} + uncached_prefill(it) + output();
}

real_seconds finish_model::service_time(const target_estimate& it, double load) const
{
    const double batch = running(it, load);
    if (is_plain())
    {
        return m_costs.response * decode_step_factor(batch / slots(it), full_batch_slowdown) *
               time_factor(it);
    }
    const auto output_time = output() * decode_step_factor(batch, default_batch_slowdown + prefill_slowdown);
    return (m_costs.first_event + uncached_prefill(it) + output_time) * time_factor(it);
}

real_seconds finish_model::network_time(const target_estimate& it) const
{
    const bool crosses = !m_request.preferred_domain.empty() && !in_preferred_domain(it);
    return crosses ? real_seconds{m_costs.cross_domain} : real_seconds{};
}

} // namespace masticcourse::gateway

// Outcomes of requests, here and at other gateways, and what they change in the state of the services.
#include "masticcourse/gateway/scheduling/request_scheduler.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>

namespace masticcourse::gateway
{

namespace
{

/// Weight of a new observation in the average output of a service's requests.
constexpr double output_weight = 0.02;

bool is_success(health_signal signal)
{
    return signal == health_signal::healthy;
}

bool is_failure(health_signal signal)
{
    return signal == health_signal::failed || signal == health_signal::unreachable;
}

} // namespace

void request_scheduler::on_sent(const scheduled_request& request, const target_instance& target,
                                bool first_attempt)
{
    auto* const state = find(request.service);
    const auto& program = request.request.program;
    const auto now = m_services.clock();
    if (!schedules(request.service, now))
    {
        return;
    }
    state->sent.record(now);
    if (!request.request.generation || !program)
    {
        return;
    }
    m_prompts.record(target, request.request.generation->prompt, 0, now);
    if (state->admission && first_attempt)
    {
        state->admission->record_turn(!m_programs.contains(program->program) && !program->previous_turn);
    }
    m_programs.record(program->program);
}

void request_scheduler::on_report(const service_name& service, const target_instance& target,
                                  const target_load_report& report)
{
    auto* const state = find(service);
    if (state == nullptr)
    {
        return;
    }
    const auto now = m_services.clock();
    if (report.time_factor)
    {
        state->performance.report_time_factor(target, *report.time_factor, now);
    }
    if (schedules(service, now))
    {
        m_reports[target.id] = {.target = target, .load = report, .received = now};
    }
}

void request_scheduler::on_stream_complete(const scheduled_request& request, const target_instance& target,
                                           const stream_sample& sample, token_count output)
{
    auto* const state = find(request.service);
    const auto& generation = request.request.generation;
    const auto now = m_services.clock();
    if (!schedules(request.service, now) || !generation)
    {
        return;
    }
    state->performance.record_stream(target, sample, now);
    state->performance.record_output(request.matched_route.name,
                                     generation->output_hint.value_or(generation->max_output), output);
    state->typical_output += (static_cast<double>(output) - state->typical_output) * output_weight;
    m_prompts.record(target, generation->prompt, output, now);
}

void request_scheduler::on_response_complete(const scheduled_request& request, const target_instance& target,
                                             duration response_time)
{
    const auto now = m_services.clock();
    if (schedules(request.service, now))
    {
        find(request.service)
            ->performance.record_response(target, request.matched_route.name, response_time, now);
    }
}

void request_scheduler::on_attempt_ended(const service_name& service, const target_instance& target,
                                         health_signal signal)
{
    auto* const state = find(service);
    const auto now = m_services.clock();
    if (state == nullptr || !schedules(service, now))
    {
        return;
    }
    if (is_success(signal) || is_failure(signal))
    {
        const target_outcomes outcomes{.successes = is_success(signal) ? 1U : 0U,
                                       .failures = is_failure(signal) ? 1U : 0U};
        state->outliers.record(target, outcomes, now);
        auto& unreported = m_unreported[target.id];
        if (unreported.target != target)
        {
            unreported = {.target = target};
        }
        unreported.outcomes.successes += outcomes.successes;
        unreported.outcomes.failures += outcomes.failures;
    }
}

void request_scheduler::on_request_ended(const service_name& service)
{
    auto* const state = find(service);
    if (state == nullptr || !state->admission)
    {
        return;
    }
    const auto now = m_services.clock();
    state->admission->completed(now);
    if (state->room)
    {
        state->room->free += 1;
    }
    release(service, *state, now);
}

local_usage request_scheduler::collect_usage()
{
    const auto now = m_services.clock();
    local_usage usage;
    for (const auto& [name, state] : m_states)
    {
        if (!schedules(name, now))
        {
            continue;
        }
        for (const auto* it : m_services.targets.candidates(name))
        {
            usage.targets.push_back(usage_of(*it, now));
        }
        if (state.admission && state.admission->waiting() > 0)
        {
            usage.demand.push_back({name, static_cast<std::uint32_t>(state.admission->waiting())});
        }
    }
    m_unreported.clear();
    return usage;
}

target_usage request_scheduler::usage_of(const target& it, time_point now) const
{
    target_usage usage{.target = it.record.instance(), .in_flight = it.in_flight};
    if (const auto found = m_unreported.find(it.record.id);
        found != m_unreported.end() && found->second.target == usage.target)
    {
        usage.successes = found->second.outcomes.successes;
        usage.failures = found->second.outcomes.failures;
    }
    if (const auto found = m_reports.find(it.record.id);
        found != m_reports.end() && found->second.target == usage.target)
    {
        const auto age = std::chrono::floor<milliseconds>(now - found->second.received);
        usage.report = aged_load_report{.load = found->second.load, .age = age};
    }
    return usage;
}

void request_scheduler::apply_external_usage()
{
    const auto now = m_services.clock();
    for (auto& [name, state] : m_states)
    {
        if (!schedules(name, now))
        {
            continue;
        }
        for (const auto* it : m_services.targets.candidates(name))
        {
            const auto instance = it->record.instance();
            const auto* const external = m_exchange.find(instance, now);
            if (external == nullptr)
            {
                continue;
            }
            if (external->successes + external->failures > 0)
            {
                state.outliers.record_external(instance, {external->successes, external->failures}, now);
            }
            if (external->report && external->report->time_factor)
            {
                state.performance.report_time_factor(instance, *external->report->time_factor,
                                                     external->reported_at);
            }
        }
        release(name, state, now);
    }
}

void request_scheduler::evaluate_outliers(const service_name& name, service_state& state, time_point now)
{
    const auto targets = m_services.targets.candidates(name);
    std::vector<double> factors;
    std::ranges::transform(targets, std::back_inserter(factors),
                           [&](const target* it)
                           { return state.performance.time_factor(it->record.instance(), now); });
    for (const auto& it : state.outliers.evaluate(targets, factors, now))
    {
        m_services.metrics
            .get_counter("masticcourse_target_ejections_total",
                         "Targets that requests avoid, or no longer avoid.",
                         {{"change", it.ejected ? "ejected" : "readmitted"}})
            .add();
        log_event(it.ejected ? event_id::target_ejected : event_id::target_readmitted,
                  {{"service", name.value},
                   {"target", it.target.value},
                   {"why", it.reason == ejection_reason::failures ? "failures" : "latency"},
                   {"period_ms", std::to_string(it.period.count())}});
    }
}

} // namespace masticcourse::gateway

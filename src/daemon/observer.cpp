#include "masticcourse/daemon/observer.hpp"

#include "masticcourse/core/invariant.hpp"
#include "masticcourse/net/percent.hpp"
#include "masticcourse/telemetry/log.hpp"

namespace masticcourse
{

namespace
{

constexpr std::size_t timeline_capacity = 20'000;

/// A call's life is drawn as one bar from its acceptance to its end.
event_phase phase_of(event_id id)
{
    switch (id)
    {
    case event_id::call_accepted:
    case event_id::call_started:
        return event_phase::begin;
    case event_id::call_committed:
    case event_id::call_refused:
    case event_id::call_ended:
        return event_phase::end;
    default:
        return event_phase::instant;
    }
}

std::vector<event_field> log_fields(const trace_event& event)
{
    auto fields = event.fields;
    if (!event.program.empty())
    {
        fields.push_back({"program", event.program.value});
    }
    if (!event.call.empty())
    {
        fields.push_back({"call", event.call.value});
    }
    return fields;
}

} // namespace

observer::observer(const process_name& process) : m_timeline(process, timeline_capacity) {}

void observer::record(const trace_event& event)
{
    log_event(event.id, log_fields(event));
    const auto* const row = find_event(event.id);
    const std::string name = row != nullptr ? std::string{row->name} : "unknown";
    m_metrics.get_counter("masticcourse_events_total", "Events by name.", {{"event", name}}).add();
    m_timeline.record({.timestamp = m_clock.now(),
                       .id = event.id,
                       .program = event.program,
                       .call = event.call,
                       .phase = phase_of(event.id),
                       .fields = event.fields});
}

bool observer::answer(const http_request& request, http_exchange& exchange) const
{
    const auto path = split_target(request.target).path;
    if (path == "/healthz")
    {
        exchange.respond({.body = R"({"status":"ok"})"});
        return true;
    }
    if (path == "/metrics")
    {
        const auto violations = "# HELP masticcourse_invariant_violations_total Violated invariants.\n"
                                "# TYPE masticcourse_invariant_violations_total counter\n"
                                "masticcourse_invariant_violations_total " +
                                std::to_string(invariant_violations()) + "\n";
        exchange.respond(
            {.content_type = "text/plain; version=0.0.4", .body = m_metrics.render() + violations});
        return true;
    }
    if (path == "/v1/timeline")
    {
        exchange.respond({.body = m_timeline.to_json()});
        return true;
    }
    return false;
}

hybrid_clock& observer::clock()
{
    return m_clock;
}

metrics_registry& observer::metrics()
{
    return m_metrics;
}

} // namespace masticcourse

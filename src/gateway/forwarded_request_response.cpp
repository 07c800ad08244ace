// The response of a target: whether it is complete, and what happens to the request if it is not.
#include "forwarded_request.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::gateway::detail
{

void forwarded_request::on_head(const http_client_reply& reply)
{
    m_response_head = m_services.protocol.decode(reply);
    m_response_length = reply.stated_length;
    if (m_response_head->load)
    {
        m_services.targets.report(m_target->instance(), *m_response_head->load, m_services.clock());
        m_services.scheduler.on_report(m_target->service, m_target->instance(), *m_response_head->load);
    }
    if (!m_stream_head && responds_with_stream() && m_response_head->authentic)
    {
        m_stream_head = m_response_head;
    }
}

void forwarded_request::on_reply(const http_client_reply& reply)
{
    m_upstream.reset();
    m_body_report = reply.body_report;
    m_unfinished_bytes = m_progress ? m_progress->unfinished_bytes() : 0;
    count_sends(reply.send_report);
    const auto end = classify_end(reply.failure);
    count_response(end);
    if (end == response_end::no_connection)
    {
        on_connect_failure();
    }
    else if (end == response_end::timeout)
    {
        on_response_lost(describe(end));
    }
    else if (end != response_end::complete || !m_response_head)
    {
        on_connection_lost(describe(end));
    }
    else if (m_response_head->not_executed)
    {
        on_not_executed();
    }
    else if (m_response_head->success() && !m_response_head->authentic)
    {
        on_response_lost("the answer does not bear the target's mark");
    }
    else if (!m_response_head->success() && implies_not_executed(m_response_head->status))
    {
        on_response_lost("the target refused without stating that it did not run the request");
    }
    else if (!responds_with_stream() && stream_begun())
    {
        on_response_lost("the target did not go on with the stream");
    }
    else if (responds_with_stream())
    {
        on_stream_complete();
    }
    else
    {
        on_complete_response(reply);
    }
}

response_end forwarded_request::classify_end(http_failure failure) const
{
    if (!responds_with_stream())
    {
        return classify_response(failure);
    }
    return classify_stream(failure, {.framing = m_body_report.framing,
                                     .inside_event = m_progress->inside_event(),
                                     .has_events = m_progress->event_count() > m_events_before_attempt});
}

void forwarded_request::count_response(response_end end) const
{
    const std::vector<metric_label> labels{{"framing", std::string{to_string(m_body_report.framing)}},
                                           {"end", std::string{to_string(end)}}};
    m_services.metrics
        .get_counter("masticcourse_target_responses_total",
                     "Responses of targets by the framing of their body and by their end.", labels)
        .add();
}

void forwarded_request::count_sends(const http_send_report& report)
{
    m_send_report = report;
    m_sends += report.sends;
    const std::vector<metric_label> labels{{"connection", report.kept_connection ? "kept" : "new"},
                                           {"attempt", m_tried_targets.size() > 1 ? "repeated" : "first"}};
    m_services.metrics
        .get_counter("masticcourse_target_sends_total",
                     "Connections on which requests to targets were written, at least in part.", labels)
        .add(report.sends);
}

void forwarded_request::record_performance()
{
    const auto now = m_services.clock();
    if (!m_services.scheduler.schedules(service(), now))
    {
        return;
    }
    if (!is_stream())
    {
        m_services.scheduler.on_response_complete(to_scheduled_request(), m_target->instance(),
                                                  now - m_attempt_started);
        return;
    }
    const auto events = m_progress->event_count() - m_events_before_attempt;
    if (!m_first_event_time || events == 0)
    {
        return;
    }
    const auto output = events * tokens_per_event();
    const stream_sample sample{.first_event = *m_first_event_time - m_attempt_started,
                               .output_time = m_last_chunk_time - *m_first_event_time,
                               .output_tokens = output - tokens_per_event(),
                               .time_factor =
                                   m_response_head->load ? m_response_head->load->time_factor : std::nullopt};
    m_services.scheduler.on_stream_complete(to_scheduled_request(), m_target->instance(), sample, output);
}

void forwarded_request::log_retry(std::string_view reason) const
{
    const auto now = m_services.clock();
    const auto* const entry = m_services.targets.find(m_target->id);
    std::vector<event_field> fields{
        {"request", m_request.id.value},
        {"target", m_target->id.value},
        {"why", std::string{reason}},
        {"attempt", std::to_string(m_attempt_count)},
        {"of", std::to_string(m_route->max_attempts)},
        {"target_load", entry != nullptr ? std::to_string(entry->load(now)) : "gone"},
        {"left_ms", std::to_string(time_left().count())},
        {"sends", std::to_string(m_send_report.sends)},
        {"kept", m_send_report.kept_connection ? "yes" : "no"},
        content_field()};
    std::ranges::move(body_fields(), std::back_inserter(fields));
    log_event(event_id::attempt_failed, fields);
}

event_field forwarded_request::content_field() const
{
    return {"content", knows_content() ? to_string(content()) : "-"};
}

std::vector<event_field> forwarded_request::body_fields() const
{
    return {{"framing", std::string{to_string(m_body_report.framing)}},
            {"bytes", std::to_string(m_body_report.bytes)},
            {"unfinished", std::to_string(m_unfinished_bytes)},
            {"connection", m_body_report.error.empty() ? "ok" : m_body_report.error}};
}

} // namespace masticcourse::gateway::detail

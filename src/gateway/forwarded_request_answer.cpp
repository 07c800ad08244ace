// The response to the caller and the end of a request.
#include "forwarded_request.hpp"

#include "masticcourse/memory/free_storage.hpp"
#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// Responses up to this size are collected, so that one that breaks off can be replaced by another attempt's.
constexpr std::size_t max_collected_body = std::size_t{64} * 1024;
/// How much of a response that is not passed on is read, in bytes: one without end would take the processor
/// until the request's deadline.
constexpr std::size_t max_dropped_body = std::size_t{256} * 1024;
/// How much of a response its caller may have yet to read, in bytes, before the target has to wait: without
/// and with room to read ahead.
constexpr std::size_t response_window = std::size_t{64} * 1024;
constexpr std::size_t max_read_ahead = std::size_t{6} * 1024 * 1024;
/// @name Responses that only their callers' reading holds up at the deadline
/// They go on if at most so many bytes are left, and for so long.
/// @{
constexpr std::uint64_t max_late_body = std::uint64_t{16} * 1024 * 1024;
constexpr milliseconds max_slow_caller_time{60'000};
constexpr milliseconds slow_caller_check_interval{250};
/// @}

bool is_server_error(int status)
{
    constexpr int server_error_class = 5;
    return status / 100 == server_error_class;
}

} // namespace

bool implies_not_executed(int status)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, status) != statuses.end();
}

void forwarded_request::on_complete_response(const http_client_reply& reply)
{
    record_target_response();
    const bool passed_on = m_sent_to_caller == sent_response::body;
    const bool retry = m_route->repeatable() && is_server_error(m_response_head->status) && !passed_on;
    if (m_response_head->success())
    {
        record_performance();
    }
    end_attempt(retry ? health_signal::failed : health_signal::healthy);
    if (retry && can_retry())
    {
        m_may_have_executed = true;
        dispatch();
        return;
    }
    if (passed_on)
    {
        m_exchange->end_stream();
        finish(request_outcome::answered, "response passed on");
        return;
    }
    m_response_body += reply.body;
    m_exchange->respond({.status = m_response_head->status,
                         .content_type = {},
                         .body = std::move(m_response_body),
                         .headers = std::move(m_response_head->headers)});
    finish(request_outcome::answered, "response complete");
}

void forwarded_request::store_turn()
{
    turn_record turn{.ancestors = std::move(m_chain.turns),
                     .input = m_request.body,
                     .output = m_progress->event_data(),
                     .domain = m_last_domain,
                     .tokens = generated_tokens(),
                     .history_size = m_chain.prompt.size()};
    m_services.turns.save(turn_id(), std::move(turn), m_deadline,
                          [self = shared_from_this()](bool stored)
                          {
                              self->m_turn_durable = stored;
                              if (!stored)
                              {
                                  self->refuse(refusal_reason::store_away, ran_state::unknown,
                                               "the turn can't be stored");
                                  return;
                              }
                              self->finish_stream();
                          });
}

bool forwarded_request::can_forward_output() const
{
    return m_reservation != reservation_state::pending || within_overdraft();
}

void forwarded_request::send_stream_head()
{
    if (m_sent_to_caller == sent_response::nothing)
    {
        m_sent_to_caller = sent_response::stream_head;
        m_exchange->begin_stream(m_stream_head->status, m_stream_head->headers);
        watch_writes();
    }
}

bool forwarded_request::is_final_response() const
{
    const auto& head = *m_response_head;
    const bool usable = head.success() ? head.authentic : !implies_not_executed(head.status);
    return !head.not_executed && usable && !stream_begun();
}

void forwarded_request::on_body(std::string_view chunk)
{
    if (!is_final_response())
    {
        drop_body(chunk);
        return;
    }
    if (m_sent_to_caller == sent_response::body)
    {
        write_to_caller(std::string{chunk});
        return;
    }
    const bool held = m_response_memory.reserve(chunk.size());
    m_response_body += chunk;
    if (!held || m_response_body.size() > max_collected_body)
    {
        begin_body();
    }
}

void forwarded_request::drop_body(std::string_view chunk)
{
    // The request is repeated or refused whatever the rest is. A short one is read to its end, which keeps
    // its connection.
    m_dropped_bytes += chunk.size();
    if (m_dropped_bytes > max_dropped_body)
    {
        on_response_lost("the target goes on sending what can't be passed on");
    }
}

void forwarded_request::begin_body()
{
    m_sent_to_caller = sent_response::body;
    m_exchange->begin_body(m_response_head->status, m_response_head->headers, m_response_length);
    watch_writes();
    write_to_caller(std::exchange(m_response_body, {}));
    m_response_memory.reset();
}

void forwarded_request::watch_writes()
{
    m_exchange->on_written(
        [weak = weak_from_this()](std::size_t size)
        {
            if (const auto self = weak.lock())
            {
                self->on_written(size);
            }
        });
}

void forwarded_request::write_to_caller(std::string part)
{
    m_passed_on += part.size();
    m_unwritten += part.size();
    m_exchange->write(std::move(part));
    adjust_reading();
}

void forwarded_request::on_written(std::size_t size)
{
    m_unwritten -= std::min(size, m_unwritten);
    adjust_reading();
}

void forwarded_request::adjust_reading()
{
    if (m_finished || !m_upstream)
    {
        return;
    }
    const auto waiting = m_unwritten + m_pending_output.size();
    const auto& memory = m_services.memory;
    const bool has_room =
        waiting <= max_read_ahead && (!memory || memory->has_room(memory_use::read_ahead, response_window));
    const bool pause = waiting > response_window && !has_room;
    const bool resume = waiting <= response_window / 2 || has_room;
    if (pause && !std::exchange(m_reading_paused, true))
    {
        m_upstream->pause();
    }
    else if (resume && std::exchange(m_reading_paused, false))
    {
        m_upstream->resume();
    }
}

bool forwarded_request::waits_for_slow_caller() const
{
    const bool passes_on = m_sent_to_caller == sent_response::body && m_unwritten > 0;
    const bool ends_soon = m_response_length && *m_response_length - m_passed_on <= max_late_body;
    return passes_on && ends_soon && m_services.clock() < m_deadline + max_slow_caller_time;
}

void forwarded_request::forward_output()
{
    if (!can_forward_output() || !m_stream_head)
    {
        adjust_reading();
        return;
    }
    if (!m_pending_output.empty())
    {
        send_stream_head();
        m_sent_to_caller = has_streamed_events() ? sent_response::events : sent_response::stream_head;
        record_delivery();
        write_to_caller(std::exchange(m_pending_output, {}));
        m_response_memory.reset();
    }
    finish_stream();
}

void forwarded_request::finish_stream()
{
    const bool durable = m_turn_durable || !is_retained();
    if (m_finished || !m_stream_complete || !can_forward_output() || !durable)
    {
        return;
    }
    send_stream_head();
    settle_budget(timing_of(request_outcome::answered));
    m_exchange->end_stream();
    finish(request_outcome::answered, is_retained() ? "turn stored" : "stream complete");
}

void forwarded_request::refuse(refusal_reason reason, ran_state ran, std::string detail,
                               std::optional<milliseconds> retry_after)
{
    if (m_finished)
    {
        return;
    }
    const auto text = std::string{to_string(reason)} + ": " + detail;
    if (m_sent_to_caller != sent_response::nothing)
    {
        abort_stream(text);
        return;
    }
    m_exchange->respond(m_services.protocol.encode(
        refusal{.reason = reason, .ran = ran, .detail = std::move(detail), .retry_after = retry_after}));
    finish(request_outcome::refused, text);
}

void forwarded_request::abort_stream(std::string_view detail)
{
    // Releasing the exchange closes the connection, so the caller detects that the response is incomplete.
    finish(request_outcome::broken_off, detail);
}

void forwarded_request::on_caller_disconnected()
{
    if (!m_finished)
    {
        finish(request_outcome::cancelled, "the caller left");
    }
}

void forwarded_request::on_deadline()
{
    if (m_finished)
    {
        return;
    }
    if (waits_for_slow_caller())
    {
        schedule(slow_caller_check_interval, &forwarded_request::on_deadline);
        return;
    }
    refuse(refusal_reason::deadline_passed, may_have_run() ? ran_state::unknown : ran_state::no,
           "the deadline passed");
}

void forwarded_request::end_for_shutdown()
{
    refuse(refusal_reason::shutting_down, may_have_run() ? ran_state::unknown : ran_state::no,
           "the process ends", shutdown_retry_after(m_request.id));
}

void forwarded_request::finish(request_outcome outcome, std::string_view detail)
{
    m_finished = true;
    if (outcome == request_outcome::answered)
    {
        m_services.shutdown.record(*m_route, m_services.clock() - m_attempt_started);
    }
    log_outcome(outcome, detail);
    end_attempt(health_signal::none);
    complete_admission();
    if (m_held)
    {
        m_services.scheduler.cancel(*m_held);
    }
    settle_budget(timing_of(outcome));
    count_delivered_tokens();
    m_timers.clear();
    m_exchange.reset();
    m_chain = {};
    free_storage(m_pending_output);
    free_storage(m_response_body);
    free_storage(m_request.body);
    m_request.rest.reset();
    if (m_upload)
    {
        m_upload->close();
    }
    m_memory_share = {};
    m_upload_memory.reset();
    m_body_memory.reset();
    m_event_memory.reset();
    m_turn_memory.reset();
    m_response_memory.reset();
    const auto on_finished = std::exchange(m_on_finished, nullptr);
    on_finished(outcome);
}

void forwarded_request::log_outcome(request_outcome outcome, std::string_view detail) const
{
    const auto elapsed = std::chrono::floor<milliseconds>(m_services.clock() - m_started);
    const auto& program = m_request.program;
    std::vector<event_field> fields{
        {"request", m_request.id.value},
        {"workspace", m_request.workspace.empty() ? "-" : m_request.workspace.value},
        {"program", program ? program->program.value : "-"},
        {"route", m_route != nullptr ? m_route->name : "-"},
        {"config", std::to_string(m_config->version)},
        {"end", std::string{to_string(outcome)}},
        {"why", std::string{detail}},
        {"target", m_tried_targets.empty() ? "-" : m_tried_targets.back().value},
        {"attempts", std::to_string(m_tried_targets.size())},
        {"sends", std::to_string(m_sends)},
        {"events", std::to_string(m_progress ? m_progress->event_count() : 0)},
        {"tokens", std::to_string(m_delivered_tokens)},
        {"basis", std::string{to_string(m_delivery_basis)}},
        {"budget", program && program->budget ? std::to_string(*program->budget) : "-"},
        {"most", program ? std::to_string(program->max_tokens) : "-"},
        {"previous", program && program->previous_turn ? program->previous_turn->value : "-"},
        {"ms", std::to_string(elapsed.count())},
        {"tables_ms", std::to_string(std::chrono::floor<milliseconds>(m_table_age).count())}};
    std::ranges::move(body_fields(), std::back_inserter(fields));
    log_event(outcome == request_outcome::answered ? event_id::request_answered : event_id::request_failed,
              fields);
}

} // namespace masticcourse::gateway::detail

// What the caller is given, and how a request ends.
#include "forwarded_request.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

bool failed_at_target(int status)
{
    constexpr int server_error_class = 5;
    return status / 100 == server_error_class;
}

} // namespace

void forwarded_request::on_whole_answer(http_client_reply reply)
{
    const bool again = m_route->repeatable() && failed_at_target(m_answer->status);
    end_attempt(again ? health_signal::failed : health_signal::healthy);
    if (again && may_try_again())
    {
        dispatch();
        return;
    }
    m_exchange->respond({.status = m_answer->status,
                         .content_type = {},
                         .body = std::move(reply.body),
                         .headers = std::move(m_answer->headers)});
    finish(request_end::answered, "whole answer");
}

void forwarded_request::keep_turn()
{
    turn_record turn{.ancestors = std::move(m_chain.turns),
                     .input = m_request.body,
                     .output = m_progress->output(),
                     .domain = m_last_domain};
    m_services.turns.keep(turn_id(), std::move(turn), m_deadline,
                          [self = shared_from_this()](bool kept)
                          {
                              self->m_kept = kept;
                              self->finish_stream();
                          });
}

bool forwarded_request::may_hand_out() const
{
    return m_reservation != reservation_state::pending || within_overdraft();
}

void forwarded_request::begin_answer()
{
    if (!std::exchange(m_head_sent, true))
    {
        m_exchange->begin_stream(m_head->status, m_head->headers);
    }
}

void forwarded_request::hand_out()
{
    if (!may_hand_out() || !m_head)
    {
        return;
    }
    if (!m_held.empty())
    {
        begin_answer();
        m_exchange->write(std::exchange(m_held, {}));
    }
    finish_stream();
}

void forwarded_request::finish_stream()
{
    const bool durable = m_kept || !is_kept();
    if (m_finished || !m_stream_whole || !may_hand_out() || !durable)
    {
        return;
    }
    begin_answer();
    m_exchange->end_stream();
    finish(request_end::answered, is_kept() ? "turn kept" : "whole stream");
}

void forwarded_request::refuse(refusal_reason reason, ran_state ran, std::string detail,
                               std::optional<milliseconds> retry_after)
{
    if (m_finished)
    {
        return;
    }
    const auto text = std::string{to_string(reason)} + ": " + detail;
    if (m_head_sent)
    {
        break_off(text);
        return;
    }
    m_exchange->respond(m_services.protocol.encode(
        refusal{.reason = reason, .ran = ran, .detail = std::move(detail), .retry_after = retry_after}));
    finish(request_end::refused, text);
}

void forwarded_request::break_off(std::string_view detail)
{
    // Dropping the exchange closes the connection: the caller sees that the answer is not whole.
    finish(request_end::broken_off, detail);
}

void forwarded_request::on_caller_gone()
{
    if (!m_finished)
    {
        finish(request_end::cancelled, "the caller left");
    }
}

void forwarded_request::on_deadline()
{
    if (m_finished)
    {
        return;
    }
    const bool sent = m_may_have_run || m_target || m_stream_whole;
    refuse(refusal_reason::deadline_passed, sent ? ran_state::unknown : ran_state::no, "the deadline passed");
}

void forwarded_request::finish(request_end end, std::string_view detail)
{
    m_finished = true;
    log_end(end, detail);
    end_attempt(health_signal::none);
    settle_budget();
    m_exchange.reset();
    m_chain = {};
    m_held.clear();
    m_request.body.clear();
    const auto on_end = std::exchange(m_on_end, nullptr);
    on_end(end);
}

void forwarded_request::log_end(request_end end, std::string_view detail) const
{
    const auto elapsed = std::chrono::floor<milliseconds>(m_services.clock() - m_started);
    const auto& program = m_request.program;
    log_event(end == request_end::answered ? event_id::request_answered : event_id::request_failed,
              {{"request", m_request.id.value},
               {"workspace", m_request.workspace.empty() ? "-" : m_request.workspace.value},
               {"program", program ? program->program.value : "-"},
               {"route", m_route != nullptr ? m_route->name : "-"},
               {"config", std::to_string(m_config->version)},
               {"end", std::string{to_string(end)}},
               {"why", std::string{detail}},
               {"target", m_tried.empty() ? "-" : m_tried.back().value},
               {"attempts", std::to_string(m_tried.size())},
               {"events", std::to_string(m_progress ? m_progress->events() : 0)},
               {"budget", program && program->budget ? std::to_string(*program->budget) : "-"},
               {"most", program ? std::to_string(program->most_tokens) : "-"},
               {"previous", program && program->previous ? program->previous->value : "-"},
               {"ms", std::to_string(elapsed.count())}});
}

} // namespace masticcourse::gateway::detail

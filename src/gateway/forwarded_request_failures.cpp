// Attempts that brought no response: which count, and whether the request is sent again.
#include "forwarded_request.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticcourse::gateway::detail
{

bool forwarded_request::can_retry() const
{
    return has_body() && m_attempt_count < m_route->max_attempts && time_left() > milliseconds{0};
}

bool forwarded_request::may_have_run() const
{
    return m_may_have_executed || m_target || m_stream_complete;
}

void forwarded_request::on_connect_failure()
{
    // No part of the request was sent, so this target does not count as an attempt.
    --m_attempt_count;
    log_retry("no connection");
    end_attempt(health_signal::unreachable);
    dispatch();
}

void forwarded_request::on_not_executed()
{
    if (m_response_head->instance_replaced && m_request.expects_version)
    {
        // The target may have other weights than this request wants, which says nothing of it for others.
        log_retry("the target instance was replaced, or has other weights");
        end_attempt(health_signal::none);
        dispatch_or_refuse();
        return;
    }
    if (m_response_head->instance_replaced)
    {
        // The addressed instance no longer exists and can't have executed the request, so this target does
        // not count as an attempt.
        --m_attempt_count;
        log_retry("the target instance was replaced");
        end_attempt(health_signal::replaced);
        dispatch();
        return;
    }
    log_retry("the target did not execute the request");
    end_attempt(health_signal::refused);
    m_saw_full_target = true;
    dispatch_or_refuse();
}

void forwarded_request::dispatch_or_refuse()
{
    if (can_retry())
    {
        dispatch();
    }
    else
    {
        refuse_without_target();
    }
}

void forwarded_request::on_response_lost(std::string_view reason)
{
    log_retry(reason);
    m_may_have_executed = true;
    end_attempt(health_signal::failed);
    retry_or_refuse(reason);
}

void forwarded_request::on_connection_lost(std::string_view reason)
{
    log_retry(reason);
    m_may_have_executed = true;
    m_checking_target = true;
    if (knows_content())
    {
        // The check may end after the request, when its body is gone.
        std::ignore = content();
    }
    const lost_attempt lost{.target = *m_target,
                            .reason = std::string{reason},
                            .suspicion_at_send = m_suspicion_at_send,
                            .unanswered_on_kept_connection =
                                m_send_report.kept_connection && !m_response_head};
    m_services.check_target(lost.target.address, [self = shared_from_this(), lost](server_state state)
                            { self->on_target_checked(lost, state); });
}

void forwarded_request::on_target_checked(const lost_attempt& lost, server_state state)
{
    m_checking_target = false;
    // A target that ends before it has read the whole request does not end because of it.
    const bool ended = state == server_state::ended && (m_content || knows_content());
    if (ended)
    {
        record_target_end(lost);
    }
    if (m_finished)
    {
        if (ended)
        {
            m_services.suspicions.tell(content());
        }
        return;
    }
    if (state == server_state::listening && lost.unanswered_on_kept_connection && may_send_again())
    {
        // Servers close idle connections, so the loss says nothing about this one.
        end_attempt(health_signal::none);
        m_permit.reset();
        m_repeat_target = lost.target.instance();
        dispatch();
        return;
    }
    end_attempt(health_signal::failed);
    if (!ended)
    {
        retry_or_refuse(lost.reason);
        return;
    }
    if (may_go_on())
    {
        m_services.suspicions.tell(content());
        dispatch();
        return;
    }
    // The answer makes the caller repeat the request elsewhere, where this end must be known by then.
    m_services.suspicions.tell(content(),
                               [self = shared_from_this(), reason = lost.reason]
                               {
                                   if (!self->m_finished)
                                   {
                                       self->retry_or_refuse(reason);
                                   }
                               });
}

bool forwarded_request::may_send_again() const
{
    // Where a single attempt is allowed, an idle connection that was closed must not cost its caller the
    // answer: the request reaches no other target by being sent to the same one again.
    const auto max_sends = std::max<std::uint32_t>(m_route->max_attempts, 2);
    return has_body() && m_route->repeatable() && m_attempt_count < max_sends &&
           time_left() > milliseconds{0};
}

bool forwarded_request::may_go_on()
{
    const bool can_resume = !m_progress || m_progress->can_resume();
    const bool passed_on = m_sent_to_caller == sent_response::body;
    return m_route->repeatable() && can_resume && !passed_on && can_retry() &&
           !(knows_content() && m_services.poison.quarantine(content(), m_services.clock()));
}

void forwarded_request::retry_or_refuse(std::string_view reason)
{
    if (refuse_quarantined())
    {
        return;
    }
    if (may_go_on())
    {
        dispatch();
    }
    else
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, std::string{reason});
    }
}

const request_fingerprint& forwarded_request::content() const
{
    if (!m_content)
    {
        m_content = fingerprint_of(m_request, *m_route);
    }
    return *m_content;
}

bool forwarded_request::refuse_quarantined()
{
    if (m_services.poison.empty() || !knows_content())
    {
        return false;
    }
    const auto left = m_services.poison.quarantine(content(), m_services.clock());
    if (!left)
    {
        return false;
    }
    m_services.metrics
        .get_counter("masticcourse_poison_refusals_total",
                     "Requests refused because targets ended under them, one after another.")
        .add();
    refuse(refusal_reason::poison_request, ran_state::unknown,
           "targets ended under requests with this content, one after another", left);
    return true;
}

bool forwarded_request::is_suspected() const
{
    if (m_services.poison.empty() || !knows_content())
    {
        return m_saw_target_end;
    }
    // After a crash of many targets popular requests are suspected as well. Only their own repeats are kept
    // apart, until there is more evidence.
    constexpr std::uint32_t min_ends = 2;
    return m_saw_target_end || m_services.poison.find(content(), m_services.clock()).ends >= min_ends;
}

void forwarded_request::record_target_end(const lost_attempt& lost)
{
    m_saw_target_end = true;
    const auto now = m_services.clock();
    const auto known = m_services.poison.record_end(content(), lost.suspicion_at_send, now);
    log_event(
        event_id::target_ended,
        {{"request", m_request.id.value},
         {"content", to_string(content())},
         {"workspace", m_request.workspace.empty() ? "-" : m_request.workspace.value},
         {"route", m_route->name},
         {"target", lost.target.id.value},
         {"ends", std::to_string(known.ends)},
         {"quarantine_ms",
          std::to_string(m_services.poison.quarantine(content(), now).value_or(milliseconds{0}).count())}});
}

void forwarded_request::record_target_response()
{
    if (knows_content() && m_services.poison.record_response(content(), m_services.clock()))
    {
        m_services.suspicions.tell(content());
    }
}

} // namespace masticcourse::gateway::detail

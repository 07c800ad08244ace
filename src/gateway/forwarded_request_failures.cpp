// Attempts that brought no response: which count, and whether the request is sent again.
#include "forwarded_request.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

bool forwarded_request::can_retry() const
{
    return m_attempt_count < m_route->max_attempts && time_left() > milliseconds{0};
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
    const lost_attempt lost{.target = *m_target,
                            .reason = std::string{reason},
                            .unanswered_on_kept_connection =
                                m_send_report.kept_connection && !m_response_head};
    m_services.check_target(lost.target.address, [self = shared_from_this(), lost](server_state state)
                            { self->on_target_checked(lost, state); });
}

void forwarded_request::on_target_checked(const lost_attempt& lost, server_state state)
{
    m_checking_target = false;
    if (m_finished)
    {
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
    retry_or_refuse(lost.reason);
}

bool forwarded_request::may_send_again() const
{
    // Where a single attempt is allowed, an idle connection that was closed must not cost its caller the
    // answer: the request reaches no other target by being sent to the same one again.
    const auto max_sends = std::max<std::uint32_t>(m_route->max_attempts, 2);
    return m_route->repeatable() && m_attempt_count < max_sends && time_left() > milliseconds{0};
}

void forwarded_request::retry_or_refuse(std::string_view reason)
{
    const bool can_resume = !m_progress || m_progress->can_resume();
    if (m_route->repeatable() && can_resume && can_retry())
    {
        dispatch();
    }
    else
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, std::string{reason});
    }
}

} // namespace masticcourse::gateway::detail

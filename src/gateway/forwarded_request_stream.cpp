// Forwarding of a streamed response from one target, or several targets in turn, to the caller.
#include "forwarded_request.hpp"

#include <algorithm>

namespace masticcourse::gateway::detail
{

namespace
{

/// Stall timeout of a resumable stream, as a multiple of the route's maximum event gap. An engine that
/// preempts a request and recomputes its prompt pauses for two or three such gaps.
constexpr int stall_gap_factor = 4;
/// Shorter pauses can be caused by network delay and CPU contention alone.
constexpr milliseconds min_stall_timeout{600};

milliseconds stall_timeout(const route& route)
{
    return std::max(min_stall_timeout, route.event_gap * stall_gap_factor);
}

} // namespace

bool forwarded_request::is_stream() const
{
    return m_route->kind == request_kind::stream;
}

bool forwarded_request::has_streamed_events() const
{
    return m_progress && m_progress->event_count() > 0;
}

void forwarded_request::on_chunk(std::string_view chunk)
{
    if (!m_response_head || !m_response_head->authentic)
    {
        return;
    }
    m_last_chunk_time = m_services.clock();
    if (!m_first_event_time)
    {
        m_first_event_time = m_last_chunk_time;
    }
    const bool had_events = has_streamed_events();
    const auto text = m_progress->feed(chunk);
    if (!text)
    {
        on_response_lost("an event of the target is too long, or repeats one before");
        return;
    }
    m_pending_output += *text;
    if (m_route->resumable && has_streamed_events())
    {
        m_request.last_event_id = m_progress->last_event_id();
        if (!had_events)
        {
            schedule(stall_timeout(*m_route), &forwarded_request::check_stall);
        }
    }
    forward_output();
}

void forwarded_request::on_stream_complete()
{
    m_pending_output += m_progress->take_remainder();
    m_stream_complete = true;
    record_target_response();
    record_performance();
    end_attempt(health_signal::healthy);
    if (is_retained())
    {
        store_turn();
    }
    forward_output();
}

void forwarded_request::check_stall()
{
    if (m_finished || m_stream_complete)
    {
        return;
    }
    const auto limit = stall_timeout(*m_route);
    const auto idle = std::chrono::floor<milliseconds>(m_services.clock() - m_last_chunk_time);
    if (m_target && !m_checking_target && idle >= limit && m_progress->can_resume() && can_retry() &&
        choose_next_target() != nullptr)
    {
        m_last_chunk_time = m_services.clock();
        on_response_lost("the target fell silent in the middle of its answer");
    }
    if (!m_finished)
    {
        schedule(std::max(limit - idle, min_stall_timeout), &forwarded_request::check_stall);
    }
}

} // namespace masticcourse::gateway::detail

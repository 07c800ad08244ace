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

/// Longest output of a turn that is stored, in bytes: more than one transaction of the store takes, so that a
/// longer one could never be stored.
constexpr std::size_t max_turn_output = std::size_t{1} << 20U;

milliseconds stall_timeout(const route& route)
{
    return std::max(min_stall_timeout, route.event_gap * stall_gap_factor);
}

/// @return false if there is no room for a lease of that size
bool resize(memory_lease& lease, std::size_t size)
{
    if (size > lease.size())
    {
        return lease.reserve(size - lease.size());
    }
    lease.set(size);
    return true;
}

} // namespace

bool forwarded_request::is_stream() const
{
    return m_route->kind == request_kind::stream;
}

bool forwarded_request::responds_with_stream() const
{
    constexpr int no_content = 204;
    return is_stream() && m_response_head && m_response_head->success() &&
           m_response_head->status != no_content;
}

bool forwarded_request::has_streamed_events() const
{
    return m_progress && m_progress->event_count() > 0;
}

bool forwarded_request::has_sent_stream_head() const
{
    return m_sent_to_caller == sent_response::stream_head || m_sent_to_caller == sent_response::events;
}

bool forwarded_request::stream_begun() const
{
    return has_streamed_events() || has_sent_stream_head();
}

void forwarded_request::on_chunk(std::string_view chunk)
{
    if (!m_response_head)
    {
        return;
    }
    if (responds_with_stream())
    {
        on_events(chunk);
        return;
    }
    on_body(chunk);
}

void forwarded_request::on_events(std::string_view chunk)
{
    if (!m_response_head->authentic)
    {
        drop_body(chunk);
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
    if (!hold_output(chunk.size()))
    {
        on_response_lost("the response is too long to be kept, or there is no memory for it");
        return;
    }
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

bool forwarded_request::hold_output(std::size_t received)
{
    // The output is collected in a string that may have grown to twice its size.
    const bool too_long = m_progress->event_data().size() > max_turn_output;
    if (is_retained() && (too_long || !m_turn_memory.reserve(2 * received)))
    {
        return false;
    }
    // An event that has not ended is kept twice, as it came and as it is understood so far, in strings that
    // may have grown to twice their size.
    return resize(m_event_memory, 4 * m_progress->unfinished_bytes()) &&
           resize(m_response_memory, m_pending_output.size());
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

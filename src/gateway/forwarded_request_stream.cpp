// A streamed answer on its way from one target, or from several in turn, to the caller.
#include "forwarded_request.hpp"

#include <algorithm>

namespace masticcourse::gateway::detail
{

namespace
{

/// How many of a route's longest pauses a target may be silent in the middle of a stream that can go on
/// elsewhere: an engine that puts a request back and reads its prompt again takes two or three.
constexpr int silent_gaps = 4;
/// Below this, links and busy processors alone explain a silence.
constexpr milliseconds least_silence{600};

milliseconds silence_limit(const route& route)
{
    return std::max(least_silence, route.event_gap * silent_gaps);
}

} // namespace

bool forwarded_request::streams() const
{
    return m_route->kind == request_kind::stream;
}

bool forwarded_request::goes_on() const
{
    return m_progress && m_progress->events() > 0;
}

void forwarded_request::begin_progress()
{
    // Whole events can be counted before they are handed out.
    const bool whole = m_route->resumable || has_budget() || is_kept();
    m_progress.emplace(whole ? stream_passing::whole_events : stream_passing::bytes);
}

void forwarded_request::on_piece(std::string_view piece)
{
    if (!m_answer || !m_answer->authentic)
    {
        return;
    }
    m_last_piece = m_services.clock();
    const bool begun = goes_on();
    const auto text = m_progress->feed(piece);
    if (!text)
    {
        on_lost_answer("an event of the target is too long, or repeats one before");
        return;
    }
    m_held += *text;
    if (m_route->resumable && goes_on())
    {
        m_request.after_event = m_progress->last_event();
        if (!begun)
        {
            take_later(silence_limit(*m_route), &forwarded_request::on_silence);
        }
    }
    hand_out();
}

void forwarded_request::on_whole_stream()
{
    m_held += m_progress->take_rest();
    m_stream_whole = true;
    end_attempt(health_signal::healthy);
    if (is_kept())
    {
        keep_turn();
    }
    hand_out();
}

void forwarded_request::on_silence()
{
    if (m_finished || m_stream_whole)
    {
        return;
    }
    const auto limit = silence_limit(*m_route);
    const auto silent = std::chrono::floor<milliseconds>(m_services.clock() - m_last_piece);
    if (m_target && silent >= limit && m_progress->can_go_on() && may_try_again() && next_target() != nullptr)
    {
        m_last_piece = m_services.clock();
        on_lost_answer("the target fell silent in the middle of its answer");
    }
    if (!m_finished)
    {
        take_later(std::max(limit - silent, least_silence), &forwarded_request::on_silence);
    }
}

} // namespace masticcourse::gateway::detail

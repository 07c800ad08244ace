#include "upload_body.hpp"

#include <utility>

namespace masticcourse::gateway::detail
{

upload_body::upload_body(std::string beginning, std::shared_ptr<http_body_source> rest,
                         std::optional<std::uint64_t> length, memory_lease kept)
    : m_rest(std::move(rest)), m_length(length), m_memory(std::move(kept))
{
    if (!beginning.empty())
    {
        m_hash.add(beginning);
        m_kept.push_back(std::move(beginning));
    }
}

void upload_body::restart()
{
    m_waiting = nullptr;
    m_position = 0;
}

void upload_body::close()
{
    m_waiting = nullptr;
    m_on_whole = nullptr;
    m_on_stalled = nullptr;
    m_rest.reset();
    m_kept = {};
    m_dropped = true;
    m_memory.reset();
}

void upload_body::read(http_body_callback on_part)
{
    m_waiting = std::move(on_part);
    pass_on();
}

void upload_body::pass_on()
{
    if (!m_waiting)
    {
        return;
    }
    if (m_position < m_kept.size())
    {
        auto part = m_kept[m_position++];
        const bool last = m_complete && m_position == m_kept.size();
        deliver({.data = std::move(part), .progress = last ? body_progress::complete : body_progress::more});
        return;
    }
    if (!m_rest || m_part_lost)
    {
        deliver({.data = {}, .progress = body_progress::broken});
        return;
    }
    if (!std::exchange(m_reading, true))
    {
        m_rest->read([self = shared_from_this()](http_body_part part) { self->on_part(std::move(part)); });
    }
}

void upload_body::on_part(http_body_part part)
{
    m_reading = false;
    if (!m_rest)
    {
        return;
    }
    if (part.progress == body_progress::broken || part.progress == body_progress::stalled)
    {
        const bool stalled = part.progress == body_progress::stalled;
        const auto on_stalled = m_on_stalled;
        deliver(std::move(part));
        if (stalled && on_stalled)
        {
            on_stalled();
        }
        return;
    }
    m_hash.add(part.data);
    if (part.progress == body_progress::complete)
    {
        m_complete = true;
        m_digest = m_hash.finish();
        if (const auto on_whole = m_on_whole; on_whole && !on_whole())
        {
            return;
        }
    }
    keep(part.data);
    if (m_dropped && !m_part_lost)
    {
        deliver(std::move(part));
        return;
    }
    pass_on();
}

void upload_body::keep(const std::string& part)
{
    if (m_dropped)
    {
        m_part_lost = m_part_lost || !m_waiting;
        return;
    }
    if (!m_memory.reserve(part.size()))
    {
        drop_kept();
        return;
    }
    m_kept.push_back(part);
}

void upload_body::drop_kept()
{
    m_part_lost = !m_waiting || m_position < m_kept.size();
    m_dropped = true;
    m_kept = {};
    m_position = 0;
    m_memory.reset();
}

void upload_body::deliver(http_body_part part)
{
    if (const auto waiting = std::exchange(m_waiting, nullptr))
    {
        waiting(std::move(part));
    }
}

} // namespace masticcourse::gateway::detail

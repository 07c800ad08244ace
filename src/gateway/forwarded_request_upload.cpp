// The body of a request that its caller is still sending: passed on part by part, or read whole first.
#include "forwarded_request.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// What a long body takes while it is passed on, in bytes: the parts that are read, copied and written, and
/// what waits in the caller's socket.
constexpr std::size_t upload_memory = std::size_t{160} * 1024;
/// How often a turn's input is held at a time while it is sent, encoded and stored.
constexpr std::size_t stored_input_copies = 6;

} // namespace

bool forwarded_request::claim_memory()
{
    const bool passed_on = m_request.rest && !is_retained();
    const auto use = m_request.rest ? memory_use::uploads : memory_use::requests;
    const auto whole_size = stored_input_copies * static_cast<std::size_t>(m_request.body_length.value_or(0));
    const auto long_size = passed_on ? upload_memory : std::max(whole_size, upload_memory);
    const auto size = m_request.rest ? long_size : 2 * m_request.body.size();
    auto share = m_services.shares.claim({.workspace = m_request.workspace.value,
                                          .priority = m_route->priority,
                                          .use = use,
                                          .size = size,
                                          .held = m_request.rest ? 0 : size});
    if (!share || (passed_on && !m_upload_memory.reserve(upload_memory)))
    {
        refuse_without_memory();
        return false;
    }
    m_memory_share = std::move(*share);
    return true;
}

void forwarded_request::refuse_without_memory()
{
    const auto ran = may_have_run() ? ran_state::unknown : ran_state::no;
    std::string detail = "no memory is left for the request";
    if (const auto& memory = m_services.memory)
    {
        detail += ": " + std::to_string(memory->held()) + " of " + std::to_string(memory->capacity()) +
                  " bytes are held, " + std::to_string(memory->held(memory_use::requests)) +
                  " for requests, " + std::to_string(memory->held(memory_use::uploads)) + " for uploads";
    }
    m_services.metrics
        .get_counter("masticcourse_memory_refusals_total", "Requests refused because there was no memory.")
        .add();
    refuse(refusal_reason::memory_full, ran, std::move(detail), memory_retry_after(m_request.id));
}

void forwarded_request::read_whole_body()
{
    // Reserved at once: of two bodies that each have half of what they need, neither could go on.
    const auto stated = static_cast<std::size_t>(m_request.body_length.value_or(0));
    if (!m_body_memory.reserve(stored_input_copies * stated))
    {
        refuse_without_memory();
        return;
    }
    m_request.body.reserve(stated);
    m_request.rest->read([self = shared_from_this()](const http_body_part& part)
                         { self->on_body_part(part); });
}

void forwarded_request::on_body_part(const http_body_part& part)
{
    if (m_finished || part.progress == body_progress::broken)
    {
        // The connection of a caller that has gone ends the request.
        return;
    }
    if (part.progress == body_progress::stalled)
    {
        on_body_stalled();
        return;
    }
    if (!m_request.body_length && !m_body_memory.reserve(stored_input_copies * part.data.size()))
    {
        refuse_without_memory();
        return;
    }
    m_request.body += part.data;
    if (part.progress == body_progress::complete)
    {
        m_request.rest.reset();
        prepare();
        return;
    }
    m_request.rest->read([self = shared_from_this()](const http_body_part& next)
                         { self->on_body_part(next); });
}

void forwarded_request::on_body_stalled()
{
    if (!m_finished)
    {
        refuse(refusal_reason::body_stalled, may_have_run() ? ran_state::unknown : ran_state::no,
               "the caller does not send the body, or sends it too slowly");
    }
}

void forwarded_request::set_up_upload()
{
    m_upload = std::make_shared<upload_body>(std::exchange(m_request.body, {}), std::move(m_request.rest),
                                             m_request.body_length,
                                             memory_lease{m_services.memory, memory_use::repeats});
    const std::weak_ptr weak = weak_from_this();
    m_upload->on_whole(
        [weak]
        {
            const auto self = weak.lock();
            if (!self || self->m_finished)
            {
                return false;
            }
            self->m_request.body_digest = self->m_upload->digest();
            return !self->refuse_quarantined();
        });
    m_upload->on_stalled(
        [weak]
        {
            if (const auto self = weak.lock())
            {
                self->on_body_stalled();
            }
        });
}

bool forwarded_request::has_body() const
{
    return !m_upload || m_upload->can_restart();
}

bool forwarded_request::body_arriving() const
{
    return m_request.rest || (m_upload && !m_request.body_digest);
}

bool forwarded_request::knows_content() const
{
    return !m_request.rest && (!m_upload || m_request.body_digest);
}

} // namespace masticcourse::gateway::detail

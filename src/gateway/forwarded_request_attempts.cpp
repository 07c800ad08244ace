// The attempts of a request: admission, the choice of a target, and sending to targets in turn.
#include "forwarded_request.hpp"

#include "masticcourse/gateway/target_choice.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// Connect timeout for targets. Links have a latency of 1 ms or less and the handshake takes a target a few
/// milliseconds, so an unreachable target is abandoned well before callers notice the delay.
constexpr milliseconds target_connect_timeout{300};

/// A request whose kept connection ended is sent again on a connection that was opened or used just now.
constexpr milliseconds repeat_max_idle{50};

/// Retry-After when all targets are full. Callers honour up to a third of their remaining time, about a
/// second. A full target frees a slot with each response, in some cases every few tens of milliseconds.
constexpr milliseconds targets_full_retry_after{200};
/// Retry-After when no target is available. A crashed target is replaced in the registry within seconds.
constexpr milliseconds no_target_retry_after{400};

} // namespace

std::string forwarded_request::affinity_key() const
{
    // Turns of a program share a prompt prefix, whether or not they are stored, so the target's prompt cache
    // helps.
    if (m_request.program && is_stream())
    {
        return m_request.program->program.value;
    }
    return m_route->sticky ? m_request.affinity_key : std::string{};
}

failure_domain_name forwarded_request::preferred_domain() const
{
    if (!m_request.program || !is_stream())
    {
        return m_services.own_domain;
    }
    // The turns of a program may arrive through different domains. Where no record tells which domain ran the
    // previous turns, none is preferred, so that all gateways choose the same target.
    if (!is_retained())
    {
        return {};
    }
    return m_chain.domain.value.empty() ? m_services.own_domain : m_chain.domain;
}

const target* forwarded_request::choose_next_target()
{
    if (const auto* const same = take_repeat_target())
    {
        return same;
    }
    const auto candidates = m_services.targets.candidates(service());
    if (is_suspected())
    {
        // All gateways choose the same target for it, and a different one for most other suspected requests.
        // So its next end is unlikely to be blamed on another one.
        const auto key = to_string(content());
        return choose_target(candidates,
                             {.affinity = key, .tried = m_tried_targets, .chooser = m_services.own_name},
                             m_services.clock());
    }
    const auto key = affinity_key();
    const selection_criteria query{.affinity = key,
                                   .preferred_domain = preferred_domain(),
                                   .tried = m_tried_targets,
                                   .chooser = m_services.own_name};
    const auto now = m_services.clock();
    return m_services.scheduler.schedules(service(), now)
               ? m_services.scheduler.choose(to_scheduled_request(), candidates, query, now)
               : choose_target(candidates, query, now);
}

const service_name& forwarded_request::service() const
{
    const auto& program = m_request.program;
    return choose_service(*m_route, program ? program->program.value : m_request.id.value);
}

scheduled_request forwarded_request::to_scheduled_request() const
{
    return {.request = m_request, .matched_route = *m_route, .service = service(), .deadline = m_deadline};
}

bool forwarded_request::request_admission()
{
    if (m_admitted)
    {
        return true;
    }
    // While the request is held back, the scheduler owns it.
    const auto on_release = [self = shared_from_this()](const std::optional<not_admitted>& refusal)
    { self->on_released(refusal); };
    const auto result = m_services.scheduler.admit(to_scheduled_request(), on_release);
    if (const auto* const refusal = std::get_if<not_admitted>(&result))
    {
        refuse_admission(*refusal);
    }
    else if (const auto* const held = std::get_if<held_request>(&result))
    {
        m_held = *held;
    }
    else
    {
        m_admitted = true;
    }
    return m_admitted;
}

void forwarded_request::on_released(const std::optional<not_admitted>& refusal)
{
    m_held.reset();
    if (m_finished)
    {
        return;
    }
    if (refusal)
    {
        refuse_admission(*refusal);
        return;
    }
    m_admitted = true;
    dispatch();
}

void forwarded_request::refuse_admission(const not_admitted& refusal)
{
    refuse(refusal_reason::targets_full, ran_state::no, refusal.reason, refusal.retry_after);
}

void forwarded_request::dispatch()
{
    if (has_permit())
    {
        dispatch_with_permit();
        return;
    }
    acquire_permit(&forwarded_request::dispatch);
}

void forwarded_request::dispatch_with_permit()
{
    if (time_left() <= milliseconds{0})
    {
        on_deadline();
        return;
    }
    if (refuse_quarantined() || refuse_for_shutdown() || !tables_usable() || !request_admission())
    {
        return;
    }
    const auto* const chosen = has_body() ? choose_next_target() : nullptr;
    if (chosen == nullptr)
    {
        refuse_without_target();
        return;
    }
    send_to(chosen->record);
}

bool forwarded_request::refuse_for_shutdown()
{
    const shutdown_query query{
        .matched_route = *m_route, .deadline = m_deadline, .body_arriving = body_arriving()};
    if (m_services.shutdown.may_finish(query, m_services.clock()))
    {
        return false;
    }
    refuse(refusal_reason::shutting_down, m_may_have_executed ? ran_state::unknown : ran_state::no,
           "the process ends before the request would be done", shutdown_retry_after(m_request.id));
    return true;
}

bool forwarded_request::tables_usable()
{
    if (m_services.tables.currency() != table_currency::out_of_date)
    {
        m_tables_refreshed = false;
        return true;
    }
    if (std::exchange(m_tables_refreshed, true))
    {
        refuse(m_may_have_executed ? refusal_reason::target_failed : refusal_reason::tables_out_of_date,
               m_may_have_executed ? ran_state::unknown : ran_state::no,
               "the targets may have changed, and the store does not tell", tables_retry_after(m_request.id));
        return false;
    }
    m_services.tables.refresh(
        [self = shared_from_this()]
        {
            if (!self->m_finished)
            {
                self->dispatch();
            }
        });
    return false;
}

void forwarded_request::refuse_without_target()
{
    if (m_may_have_executed)
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, "no target is left to try");
    }
    else if (m_saw_full_target)
    {
        refuse(refusal_reason::targets_full, ran_state::no, "all targets tried are full",
               targets_full_retry_after);
    }
    else
    {
        refuse(refusal_reason::no_target, ran_state::no, "no target answers", no_target_retry_after);
    }
}

void forwarded_request::begin_attempt(const target_record& target)
{
    ++m_attempt_id;
    ++m_attempt_count;
    m_target = target;
    m_tried_targets.push_back(target.id);
    m_last_domain = target.domain;
    m_response_head.reset();
    m_send_report = {};
    m_body_report = {};
    m_unfinished_bytes = 0;
    m_attempt_started = m_services.clock();
    m_table_age = m_services.tables.age();
    m_suspicion_at_send = m_services.poison.empty() || !knows_content()
                              ? suspicion{}
                              : m_services.poison.find(content(), m_attempt_started);
    m_first_event_time.reset();
    m_response_body.clear();
    m_response_length.reset();
    m_dropped_bytes = 0;
    m_reading_paused = false;
    if (m_progress)
    {
        m_events_before_attempt = m_progress->event_count();
        m_progress->begin_attempt(has_sent_stream_head());
    }
    if (!stream_begun())
    {
        m_stream_head.reset();
        m_pending_output.clear();
    }
    m_response_memory.set(m_pending_output.size());
    m_services.targets.begin(target.instance());
    m_services.scheduler.on_sent(to_scheduled_request(), target.instance(), m_tried_targets.size() == 1);
}

void forwarded_request::send_to(const target_record& target)
{
    begin_attempt(target);
    const auto attempt = m_attempt_id;
    auto request =
        m_services.protocol.encode(m_request, m_chain.prompt + m_request.body, target, time_left());
    if (m_upload)
    {
        m_upload->restart();
        request.rest = m_upload;
        request.body_length = m_upload->length();
    }
    request.timeout = time_left();
    request.stream_any_status = true;
    request.connect_timeout = target_connect_timeout;
    // Each send is a decision of this request, which counts it and asks for a permit.
    request.may_resend = false;
    if (m_sending_again)
    {
        request.max_idle = repeat_max_idle;
    }
    request.is_matching_response =
        [&protocol = m_services.protocol, id = m_request.id](const http_client_reply& reply)
    { return protocol.is_response_to(reply, id); };
    const auto if_current_attempt = [self = shared_from_this(), attempt](auto action)
    {
        if (!self->m_finished && self->m_attempt_id == attempt && self->m_target)
        {
            action(*self);
        }
    };
    request.on_head = [if_current_attempt](const http_client_reply& reply)
    { if_current_attempt([&](forwarded_request& it) { it.on_head(reply); }); };
    const auto on_chunk = [if_current_attempt](std::string_view chunk)
    { if_current_attempt([&](forwarded_request& it) { it.on_chunk(chunk); }); };
    m_upstream =
        m_services.open_stream(std::move(request), on_chunk,
                               [if_current_attempt](const http_client_reply& reply)
                               { if_current_attempt([&](forwarded_request& it) { it.on_reply(reply); }); });
}

const target* forwarded_request::take_repeat_target()
{
    const auto repeat = std::exchange(m_repeat_target, std::nullopt);
    const auto* const found = repeat ? m_services.targets.find(repeat->id) : nullptr;
    const bool usable = found != nullptr && found->record.instance() == *repeat && !found->record.draining &&
                        !found->replaced;
    m_sending_again = usable;
    return usable ? found : nullptr;
}

void forwarded_request::end_attempt(health_signal signal)
{
    if (m_target)
    {
        const auto ended = *std::exchange(m_target, std::nullopt);
        m_services.targets.end(ended.instance(), signal, m_services.clock());
        m_services.scheduler.on_attempt_ended(ended.service, ended.instance(), signal);
        if (signal == health_signal::healthy)
        {
            complete_admission();
        }
    }
    if (signal == health_signal::failed)
    {
        // The request may have been executed under this permit; another execution needs a new one.
        m_permit.reset();
    }
    // Closing the connection tells a target that is still processing the request to stop.
    if (const auto upstream = std::exchange(m_upstream, nullptr))
    {
        upstream->cancel();
    }
}

void forwarded_request::complete_admission()
{
    if (std::exchange(m_admitted, false))
    {
        m_services.scheduler.on_request_ended(service());
    }
}

} // namespace masticcourse::gateway::detail

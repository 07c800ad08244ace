// The attempts of a request: sending it to one target after the other, and what comes back.
#include "forwarded_request.hpp"

#include "masticcourse/gateway/target_choice.hpp"
#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// How long opening a connection to a target may take: links have a millisecond or less, a target a few for
/// the handshake; a dark one is left for another well before a caller notices.
constexpr milliseconds connect_limit{300};

/// When a caller may come back. Callers honour up to a third of the time that they have left, about a second.
/// Full targets free a place with each answer, some every few tens of milliseconds.
constexpr milliseconds after_full{200};
/// A target that crashed is replaced in the registry within seconds.
constexpr milliseconds after_no_target{400};

constexpr int status_misdirected = 421;

/// Statuses that promise callers that the request has not run; only a target that says so may give them.
bool promises_not_run(int status)
{
    constexpr std::array promising{408, status_misdirected, 429, 503};
    return std::ranges::find(promising, status) != promising.end();
}

} // namespace

std::string forwarded_request::affinity() const
{
    // The prompts of a program's turns begin alike, kept or not.
    if (m_request.program && streams())
    {
        return m_request.program->program.value;
    }
    return m_route->sticky ? m_request.object : std::string{};
}

failure_domain_name forwarded_request::preferred_domain() const
{
    if (!m_request.program || !streams())
    {
        return m_services.own_domain;
    }
    // Turns may come through another domain than the ones before. Where no record tells which one ran those,
    // none is preferred, so that all gateways name the same target.
    if (!is_kept())
    {
        return {};
    }
    return m_chain.domain.value.empty() ? m_services.own_domain : m_chain.domain;
}

const target* forwarded_request::next_target()
{
    const auto& program = m_request.program;
    const auto& share_key = program ? program->program.value : m_request.id.value;
    const auto candidates = m_services.targets.candidates(choose_service(*m_route, share_key));
    const auto key = affinity();
    const selection_criteria query{.affinity = key,
                                   .preferred_domain = preferred_domain(),
                                   .tried = m_tried,
                                   .sequence = std::hash<request_id>{}(m_request.id)};
    return choose_target(candidates, query, m_services.clock());
}

void forwarded_request::dispatch()
{
    if (has_permit())
    {
        dispatch_permitted();
        return;
    }
    draw_permit(&forwarded_request::dispatch);
}

void forwarded_request::dispatch_permitted()
{
    if (time_left() <= milliseconds{0})
    {
        on_deadline();
        return;
    }
    const auto* const chosen = next_target();
    if (chosen == nullptr)
    {
        refuse_without_target();
        return;
    }
    send_to(chosen->record);
}

void forwarded_request::refuse_without_target()
{
    if (m_may_have_run)
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, "no target is left to try");
    }
    else if (m_found_full)
    {
        refuse(refusal_reason::targets_full, ran_state::no, "all targets tried are full", after_full);
    }
    else
    {
        refuse(refusal_reason::no_target, ran_state::no, "no target answers", after_no_target);
    }
}

void forwarded_request::send_to(const target_record& target)
{
    ++m_attempt;
    ++m_attempts;
    m_target = target;
    m_tried.push_back(target.id);
    m_last_domain = target.domain;
    m_answer.reset();
    if (m_progress)
    {
        m_progress->begin_run();
    }
    if (!goes_on())
    {
        m_head.reset();
        m_held.clear();
    }
    m_services.targets.begin(target.instance());

    const auto attempt = m_attempt;
    auto request =
        m_services.protocol.encode(m_request, m_chain.prompt + m_request.body, target, time_left());
    request.timeout = time_left();
    request.connect_timeout = connect_limit;
    request.idempotent = m_route->repeatable();
    request.is_own_answer = [&protocol = m_services.protocol, id = m_request.id](
                                const http_client_reply& reply) { return protocol.answers(reply, id); };
    const auto for_this_attempt = [self = shared_from_this(), attempt](auto action)
    {
        if (!self->m_finished && self->m_attempt == attempt && self->m_target)
        {
            action(*self);
        }
    };
    request.on_head = [for_this_attempt](const http_client_reply& reply)
    { for_this_attempt([&](forwarded_request& it) { it.on_head(reply); }); };
    http_chunk_callback on_piece;
    if (streams())
    {
        on_piece = [for_this_attempt](std::string_view piece)
        { for_this_attempt([&](forwarded_request& it) { it.on_piece(piece); }); };
    }
    m_upstream =
        m_services.open(std::move(request), std::move(on_piece),
                        [for_this_attempt](http_client_reply reply)
                        { for_this_attempt([&](forwarded_request& it) { it.on_reply(std::move(reply)); }); });
}

void forwarded_request::on_head(const http_client_reply& reply)
{
    m_answer = m_services.protocol.decode(reply);
    if (m_answer->load)
    {
        m_services.targets.report(m_target->instance(), *m_answer->load, m_services.clock());
    }
    if (!m_head && streams() && m_answer->success() && m_answer->authentic)
    {
        m_head = m_answer;
    }
}

void forwarded_request::end_attempt(health_signal verdict)
{
    if (m_target)
    {
        m_services.targets.end(m_target->instance(), verdict, m_services.clock());
        m_target.reset();
    }
    if (verdict == health_signal::failed)
    {
        // The request may have run on its permit: another run needs another one.
        m_permit.reset();
    }
    // Closing the connection tells a target that is still at work to stop.
    if (const auto upstream = std::exchange(m_upstream, nullptr))
    {
        upstream->cancel();
    }
}

void forwarded_request::on_reply(http_client_reply reply)
{
    m_upstream.reset();
    if (reply.failure == http_failure::connect)
    {
        on_no_connection();
    }
    else if (reply.failure != http_failure::none || !m_answer)
    {
        on_lost_answer(to_string(reply.failure));
    }
    else if (m_answer->not_run)
    {
        on_not_run();
    }
    else if (m_answer->success() && !m_answer->authentic)
    {
        on_lost_answer("the answer does not bear the target's mark");
    }
    else if (!m_answer->success() && promises_not_run(m_answer->status))
    {
        on_lost_answer("the target refused without stating that it did not run the request");
    }
    else if (!m_answer->success() && goes_on())
    {
        on_lost_answer("the target did not go on with the stream");
    }
    else if (streams() && m_answer->success())
    {
        on_whole_stream();
    }
    else
    {
        on_whole_answer(std::move(reply));
    }
}

bool forwarded_request::may_try_again() const
{
    return m_attempts < m_route->max_attempts && time_left() > milliseconds{0};
}

void forwarded_request::on_no_connection()
{
    // Nothing was sent: this target does not count as an attempt.
    --m_attempts;
    log_retry("no connection");
    end_attempt(health_signal::unreachable);
    dispatch();
}

void forwarded_request::on_not_run()
{
    if (m_answer->other_life)
    {
        // Nobody is there to have run it: this target does not count as an attempt.
        --m_attempts;
        log_retry("the target's life has ended");
        end_attempt(health_signal::replaced);
        dispatch();
        return;
    }
    log_retry("the target did not run it");
    end_attempt(health_signal::refused);
    m_found_full = true;
    if (may_try_again())
    {
        dispatch();
    }
    else
    {
        refuse_without_target();
    }
}

void forwarded_request::on_lost_answer(std::string_view why)
{
    log_retry(why);
    end_attempt(health_signal::failed);
    m_may_have_run = true;
    const bool can_go_on = !m_progress || m_progress->can_go_on();
    if (m_route->repeatable() && can_go_on && may_try_again())
    {
        dispatch();
    }
    else
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, std::string{why});
    }
}

void forwarded_request::log_retry(std::string_view why) const
{
    const auto now = m_services.clock();
    const auto* const row = m_services.targets.find(m_target->id);
    log_event(event_id::attempt_failed,
              {{"request", m_request.id.value},
               {"target", m_target->id.value},
               {"why", std::string{why}},
               {"attempt", std::to_string(m_attempts)},
               {"of", std::to_string(m_route->max_attempts)},
               {"target_load", row != nullptr ? std::to_string(row->load(now)) : "gone"},
               {"left_ms", std::to_string(time_left().count())}});
}

} // namespace masticcourse::gateway::detail

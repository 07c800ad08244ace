#include "course.hpp"

#include "masticcourse/gateway/target_choice.hpp"
#include "masticcourse/telemetry/log.hpp"

#include <algorithm>
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
/// The store's outages last seconds: as late as callers honour.
constexpr milliseconds after_store_away{1'000};

constexpr int status_misdirected = 421;

/// Statuses that promise callers that the request has not run; only a target that says so may give them.
bool promises_not_run(int status)
{
    constexpr std::array promising{408, status_misdirected, 429, 503};
    return std::ranges::find(promising, status) != promising.end();
}

bool failed_at_target(int status)
{
    constexpr int server_error_class = 5;
    return status / 100 == server_error_class;
}

} // namespace

course::course(course_services& services, config_ptr config, gateway_request request,
               std::shared_ptr<http_exchange> exchange, std::function<void(course_end)> on_end)
    : m_services(services), m_config(std::move(config)), m_request(std::move(request)),
      m_exchange(std::move(exchange)), m_on_end(std::move(on_end)), m_started(services.clock())
{
}

void course::start()
{
    const std::string_view path{m_request.target};
    m_route = m_config->find_route(m_request.host, path.substr(0, path.find('?')));
    m_deadline = m_started + m_request.patience.value_or(milliseconds{60'000});
    if (m_route == nullptr)
    {
        refuse(refusal_reason::no_route, ran_state::no, "no route for " + m_request.host);
        return;
    }
    m_deadline = std::min(m_deadline, m_started + m_route->timeout);
    set_deadline();
    m_exchange->on_closed(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->on_caller_gone();
            }
        });
    if (is_turn())
    {
        start_turn();
    }
    else
    {
        dispatch();
    }
}

bool course::is_turn() const
{
    return m_route->keeps_turns() && m_request.program && m_request.program->budget;
}

bool course::streams() const
{
    return m_route->kind == request_kind::stream;
}

milliseconds course::time_left() const
{
    return std::chrono::floor<milliseconds>(m_deadline - m_services.clock());
}

void course::set_deadline()
{
    // The timer keeps the request until its deadline; what is large is given back when it ends.
    m_services.delay(std::max(time_left(), milliseconds{0}),
                     [weak = weak_from_this()]
                     {
                         if (const auto self = weak.lock())
                         {
                             self->on_deadline();
                         }
                     });
}

void course::start_turn()
{
    const auto& claim = *m_request.program;
    const reservation_request reservation{.program = claim.program,
                                          .request = m_request.id,
                                          .tokens = claim.most_tokens,
                                          .budget = *claim.budget,
                                          .first = !claim.previous.has_value(),
                                          .expires = m_deadline};
    m_reserve_first = !m_services.spending.ample(reservation);
    if (m_reserve_first && !m_services.store.reachable())
    {
        refuse(refusal_reason::store_away, ran_state::no, "the store that keeps budgets is away",
               after_store_away);
        return;
    }
    // While the store is away, a turn that surely has the budget runs all the same: its events and its end
    // wait for the store's return. A program ends with its third failed turn; refused ones are used up
    // within 3.5 s, ones that wait last out outages of 6 s, and go on the moment the store is back.
    m_reservation = reservation_state::pending;
    m_services.spending.reserve(reservation, [self = shared_from_this()](reservation_outcome outcome)
                                { self->on_reservation(outcome); });
    if (!m_finished)
    {
        load_chain();
    }
}

void course::load_chain()
{
    const auto& previous = m_request.program->previous;
    if (!previous)
    {
        on_chain({.outcome = chain_outcome::found});
        return;
    }
    m_services.turns.load_chain(*previous, [self = shared_from_this()](turn_chain chain)
                                { self->on_chain(std::move(chain)); });
}

void course::on_chain(turn_chain chain)
{
    if (m_finished)
    {
        return;
    }
    switch (chain.outcome)
    {
    case chain_outcome::missing:
        refuse(refusal_reason::no_such_turn, ran_state::no, "no turn " + m_request.program->previous->value);
        return;
    case chain_outcome::unavailable:
        refuse(refusal_reason::store_away, ran_state::no, "the turn before can't be read", after_store_away);
        return;
    case chain_outcome::found:
        break;
    }
    m_chain = std::move(chain);
    m_chain_ready = true;
    if (!m_reserve_first || m_reservation == reservation_state::granted)
    {
        dispatch();
    }
}

void course::on_reservation(reservation_outcome outcome)
{
    if (m_finished)
    {
        return;
    }
    const bool sent = m_attempts > 0;
    switch (outcome)
    {
    case reservation_outcome::granted:
        m_reservation = reservation_state::granted;
        if (m_reserve_first && m_chain_ready)
        {
            dispatch();
        }
        else
        {
            hand_out();
        }
        return;
    case reservation_outcome::over_budget:
        if (sent)
        {
            // The target is at work: "not run" would not be true any more.
            refuse(refusal_reason::target_failed, ran_state::unknown, "the budget went elsewhere meanwhile");
            return;
        }
        refuse(refusal_reason::over_budget, ran_state::no, "the budget holds no further turn");
        return;
    case reservation_outcome::unavailable:
        refuse(refusal_reason::store_away, sent ? ran_state::unknown : ran_state::no,
               "the budget can't be reserved", after_store_away);
        return;
    }
}

std::string course::affinity() const
{
    if (m_request.program && m_route->keeps_turns())
    {
        return m_request.program->program.value;
    }
    return m_route->sticky ? m_request.object : std::string{};
}

const target* course::next_target()
{
    const auto& program = m_request.program;
    const auto& share_key = program ? program->program.value : m_request.id.value;
    const auto candidates = m_services.targets.candidates(choose_service(*m_route, share_key));
    const auto key = affinity();
    const choice_query query{.affinity = key,
                             .own_domain = m_services.own_domain,
                             .tried = m_tried,
                             .sequence = std::hash<request_id>{}(m_request.id)};
    return choose_target(candidates, query, m_services.clock());
}

void course::dispatch()
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

void course::refuse_without_target()
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

void course::send_to(const target_record& target)
{
    ++m_attempt;
    ++m_attempts;
    m_target = target;
    m_tried.push_back(target.id);
    m_answer.reset();
    m_held.clear();
    m_output.clear();
    m_events = 0;
    m_parser.emplace(
        [this](const sse_event& event)
        {
            m_output.append(event.data).append("\n");
            ++m_events;
        });
    m_services.targets.begin(target.id);

    const auto attempt = m_attempt;
    auto request =
        m_services.protocol.encode(m_request, m_chain.prompt + m_request.body, target, time_left());
    request.timeout = time_left();
    request.connect_timeout = connect_limit;
    request.idempotent = m_route->kind == request_kind::idempotent;
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
    { for_this_attempt([&](course& it) { it.on_head(reply); }); };
    http_chunk_callback on_piece;
    if (streams())
    {
        on_piece = [for_this_attempt](std::string_view piece)
        { for_this_attempt([&](course& it) { it.on_piece(piece); }); };
    }
    m_upstream = m_services.open(std::move(request), std::move(on_piece),
                                 [for_this_attempt](http_client_reply reply)
                                 { for_this_attempt([&](course& it) { it.on_reply(std::move(reply)); }); });
}

void course::on_head(const http_client_reply& reply)
{
    m_answer = m_services.protocol.decode(reply);
    if (m_answer->load)
    {
        m_services.targets.report(m_target->id, *m_answer->load, m_services.clock());
    }
}

void course::on_piece(std::string_view piece)
{
    if (!m_answer || !m_answer->authentic)
    {
        return;
    }
    m_held += piece;
    if (is_turn() && !m_parser->feed(piece))
    {
        end_attempt(target_verdict::broken);
        break_off("an event of the target is too long");
        return;
    }
    hand_out();
}

void course::end_attempt(target_verdict verdict)
{
    if (m_target)
    {
        m_services.targets.end(m_target->id, verdict, m_services.clock());
        m_target.reset();
    }
    // Closing the connection tells a target that is still at work to stop.
    if (const auto upstream = std::exchange(m_upstream, nullptr))
    {
        upstream->cancel();
    }
}

void course::on_reply(http_client_reply reply)
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
    else if (streams() && m_answer->success())
    {
        on_whole_stream();
    }
    else
    {
        on_whole_answer(std::move(reply));
    }
}

bool course::may_try_again() const
{
    return m_attempts < m_route->max_attempts && time_left() > milliseconds{0};
}

void course::on_no_connection()
{
    // Nothing was sent: this target does not count as an attempt.
    --m_attempts;
    log_retry("no connection");
    end_attempt(target_verdict::unreachable);
    dispatch();
}

void course::on_not_run()
{
    log_retry("the target did not run it");
    end_attempt(target_verdict::refused);
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

void course::on_lost_answer(std::string_view why)
{
    log_retry(why);
    end_attempt(target_verdict::broken);
    m_may_have_run = true;
    if (m_head_sent)
    {
        break_off(std::string{why});
    }
    else if (m_route->kind == request_kind::idempotent && may_try_again())
    {
        dispatch();
    }
    else
    {
        refuse(refusal_reason::target_failed, ran_state::unknown, std::string{why});
    }
}

void course::on_whole_answer(http_client_reply reply)
{
    const bool again = m_route->kind == request_kind::idempotent && failed_at_target(m_answer->status);
    end_attempt(again ? target_verdict::broken : target_verdict::sound);
    if (again && may_try_again())
    {
        dispatch();
        return;
    }
    m_exchange->respond({.status = m_answer->status,
                         .content_type = {},
                         .body = std::move(reply.body),
                         .headers = std::move(m_answer->headers)});
    finish(course_end::answered, "whole answer");
}

void course::on_whole_stream()
{
    m_stream_whole = true;
    end_attempt(target_verdict::sound);
    if (!is_turn())
    {
        hand_out();
        m_exchange->end_stream();
        finish(course_end::answered, "whole stream");
        return;
    }
    turn_record turn{.ancestors = std::move(m_chain.turns), .input = m_request.body, .output = m_output};
    m_services.turns.keep(m_request.id, std::move(turn), m_deadline,
                          [self = shared_from_this()](bool kept)
                          {
                              self->m_kept = kept;
                              if (kept)
                              {
                                  self->finish_turn();
                              }
                          });
}

void course::hand_out()
{
    if (m_reservation == reservation_state::pending || !m_answer)
    {
        return;
    }
    if (!m_held.empty() || m_stream_whole)
    {
        if (!std::exchange(m_head_sent, true))
        {
            m_exchange->begin_stream(m_answer->status, m_answer->headers);
        }
        m_exchange->write(std::exchange(m_held, {}));
    }
    finish_turn();
}

void course::finish_turn()
{
    if (m_finished || !m_kept || m_reservation != reservation_state::granted)
    {
        return;
    }
    if (!std::exchange(m_head_sent, true))
    {
        m_exchange->begin_stream(m_answer->status, m_answer->headers);
    }
    m_exchange->end_stream();
    finish(course_end::answered, "turn kept");
}

void course::refuse(refusal_reason reason, ran_state ran, std::string detail,
                    std::optional<milliseconds> retry_after)
{
    if (m_finished)
    {
        return;
    }
    const auto text = std::string{to_string(reason)} + ": " + detail;
    m_exchange->respond(m_services.protocol.encode(
        refusal{.reason = reason, .ran = ran, .detail = std::move(detail), .retry_after = retry_after}));
    finish(course_end::refused, text);
}

void course::break_off(std::string detail)
{
    // Dropping the exchange closes the connection: the caller sees that the answer is not whole.
    finish(course_end::broken_off, detail);
}

void course::on_caller_gone()
{
    if (!m_finished)
    {
        finish(course_end::cancelled, "the caller left");
    }
}

void course::on_deadline()
{
    if (m_finished)
    {
        return;
    }
    const bool sent = m_may_have_run || m_target || m_stream_whole;
    if (m_head_sent)
    {
        break_off("the deadline passed in the middle of the answer");
    }
    else
    {
        refuse(refusal_reason::deadline_passed, sent ? ran_state::unknown : ran_state::no,
               "the deadline passed");
    }
}

void course::finish(course_end end, std::string_view detail)
{
    m_finished = true;
    log_end(end, detail);
    end_attempt(target_verdict::none);
    if (m_reservation != reservation_state::not_needed)
    {
        const auto* const service =
            m_config->find_service(choose_service(*m_route, m_request.program->program.value));
        const token_count per_event =
            service != nullptr && service->engine ? service->engine->tokens_per_event : 1;
        // An event that was cut off in the middle counts too.
        const auto open = m_stream_whole ? 0 : 1;
        const auto events = m_head_sent ? static_cast<token_count>(m_events) + open : 0;
        m_services.spending.settle(m_request.program->program, m_request.id, events * per_event);
    }
    m_exchange.reset();
    m_chain = {};
    m_held.clear();
    m_request.body.clear();
    const auto on_end = std::exchange(m_on_end, nullptr);
    on_end(end);
}

void course::log_retry(std::string_view why) const
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

void course::log_end(course_end end, std::string_view detail) const
{
    const auto elapsed = std::chrono::floor<milliseconds>(m_services.clock() - m_started);
    const auto& program = m_request.program;
    log_event(end == course_end::answered ? event_id::request_answered : event_id::request_failed,
              {{"request", m_request.id.value},
               {"program", program ? program->program.value : "-"},
               {"route", m_route != nullptr ? m_route->name : "-"},
               {"config", std::to_string(m_config->version)},
               {"end", std::string{to_string(end)}},
               {"why", std::string{detail}},
               {"target", m_tried.empty() ? "-" : m_tried.back().value},
               {"attempts", std::to_string(m_tried.size())},
               {"events", std::to_string(m_events)},
               {"budget", program && program->budget ? std::to_string(*program->budget) : "-"},
               {"most", program ? std::to_string(program->most_tokens) : "-"},
               {"previous", program && program->previous ? program->previous->value : "-"},
               {"ms", std::to_string(elapsed.count())}});
}

} // namespace masticcourse::gateway::detail

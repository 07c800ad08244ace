// A request from its arrival until a target is chosen.
#include "forwarded_request.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

forwarded_request::forwarded_request(forwarding_services& services, config_ptr config,
                                     gateway_request request, std::shared_ptr<http_exchange> exchange,
                                     std::function<void(request_end)> on_end)
    : m_services(services), m_config(std::move(config)), m_request(std::move(request)),
      m_exchange(std::move(exchange)), m_on_end(std::move(on_end)), m_started(services.clock())
{
}

void forwarded_request::start()
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
    if (is_kept() && m_route->resumable && m_request.after_event)
    {
        // What the caller has of the broken turn is not known here, so the whole turn could not be kept.
        refuse(refusal_reason::not_resumable, ran_state::no, "a turn that is kept starts from its beginning",
               milliseconds{0});
        return;
    }
    if (streams())
    {
        begin_progress();
    }
    if (has_budget())
    {
        start_turn();
    }
    else
    {
        load_chain();
    }
}

bool forwarded_request::has_budget() const
{
    return streams() && m_request.program && m_request.program->budget;
}

bool forwarded_request::is_kept() const
{
    return streams() && m_route->keeps_turns();
}

std::optional<request_id> forwarded_request::previous_turn() const
{
    return is_kept() && m_request.program ? m_request.program->previous : std::nullopt;
}

milliseconds forwarded_request::time_left() const
{
    return std::chrono::floor<milliseconds>(m_deadline - m_services.clock());
}

void forwarded_request::set_deadline()
{
    take_later(std::max(time_left(), milliseconds{0}), &forwarded_request::on_deadline);
}

void forwarded_request::take_later(milliseconds wait, void (forwarded_request::*step)())
{
    m_services.delay(wait,
                     [weak = weak_from_this(), step]
                     {
                         if (const auto self = weak.lock())
                         {
                             (self.get()->*step)();
                         }
                     });
}

void forwarded_request::start_turn()
{
    const auto& claim = *m_request.program;
    if (previous_turn() && m_services.spending.unknown(claim.program))
    {
        m_services.spending.look_up(claim.program, [self = shared_from_this()] { self->reserve(); });
        return;
    }
    reserve();
}

void forwarded_request::reserve()
{
    if (m_finished)
    {
        return;
    }
    const auto& claim = *m_request.program;
    const reservation_request reservation{.program = claim.program,
                                          .request = m_request.id,
                                          .tokens = claim.most_tokens,
                                          .budget = *claim.budget,
                                          .first = !previous_turn().has_value(),
                                          .expires = m_deadline};
    m_reserve_first = !m_services.spending.ample(reservation);
    if (m_reserve_first && is_kept() && !m_services.store.reachable())
    {
        refuse(refusal_reason::store_away, ran_state::no, "the store that keeps budgets is away",
               after_store_away);
        return;
    }
    // While the store is away, a turn that surely has the budget runs all the same: its events and its end
    // wait for the store's return. A program ends with its third failed turn; ones that wait last out longer
    // outages than ones that are refused, and go on the moment the store is back.
    m_reservation = reservation_state::pending;
    m_services.spending.reserve(reservation, [self = shared_from_this()](reservation_outcome outcome)
                                { self->on_reservation(outcome); });
    if (!m_finished)
    {
        plan_overdraft();
        load_chain();
    }
}

void forwarded_request::load_chain()
{
    const auto previous = previous_turn();
    if (!previous)
    {
        on_chain({.outcome = chain_outcome::found});
        return;
    }
    m_services.turns.load_chain(*previous, [self = shared_from_this()](turn_chain chain)
                                { self->on_chain(std::move(chain)); });
}

void forwarded_request::on_chain(turn_chain chain)
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

void forwarded_request::on_reservation(reservation_outcome outcome)
{
    if (m_drawn && outcome == reservation_outcome::granted)
    {
        m_services.overdrafts.clear(m_request.program->program, m_request.id);
    }
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

} // namespace masticcourse::gateway::detail

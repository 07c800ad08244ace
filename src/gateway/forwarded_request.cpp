// A request from its arrival until a target is chosen.
#include "forwarded_request.hpp"

#include "masticcourse/gateway/access/access_control.hpp"

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
    if (!admit_caller())
    {
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
    if (m_limited != nullptr)
    {
        // Looked at before anything else is done for the request.
        draw_permit(&forwarded_request::begin);
        return;
    }
    begin();
}

void forwarded_request::begin()
{
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

void forwarded_request::draw_permit(void (forwarded_request::*step)())
{
    const auto on_result = [self = shared_from_this(), step](const quota_result& result)
    {
        if (self->m_finished)
        {
            return;
        }
        if (const auto* const refusal = std::get_if<quota_refusal>(&result))
        {
            self->refuse_over_quota(*refusal);
            return;
        }
        self->m_permit = std::get<quota_permit>(result);
        (self.get()->*step)();
    };
    m_services.quotas.draw(*m_limited, starts_program() ? quota_need::start : quota_need::other, on_result);
}

bool forwarded_request::starts_program() const
{
    return is_kept() && m_request.program && !previous_turn();
}

bool forwarded_request::has_permit() const
{
    return m_limited == nullptr || (m_permit && m_services.quotas.valid(*m_permit));
}

void forwarded_request::refuse_over_quota(const quota_refusal& refusal)
{
    const auto ran = m_may_have_run ? ran_state::unknown : ran_state::no;
    if (refusal.used_up)
    {
        refuse(refusal_reason::over_quota, ran,
               starts_program() ? "the quota holds no further program" : "the quota is used up",
               refusal.retry_after);
        return;
    }
    refuse(refusal_reason::quota_undecided, ran, "no holder of the quota answers", refusal.retry_after);
}

bool forwarded_request::admit_caller()
{
    // While the store is away, a newer configuration may be in force elsewhere.
    const bool current = m_services.store.reachable();
    const auto access = check_access(*m_config, *m_route, m_request.access_key, current);
    m_request.access_key.clear();
    switch (access.outcome)
    {
    case access_outcome::open:
        return true;
    case access_outcome::granted:
        enter_workspace(*access.owner);
        return true;
    case access_outcome::unknown_key:
        refuse(refusal_reason::unknown_key, ran_state::no, "the key opens no workspace");
        return false;
    case access_outcome::undecided:
        break;
    }
    refuse(refusal_reason::key_undecided, ran_state::no, "the newest configuration can't be read",
           after_store_away);
    return false;
}

void forwarded_request::enter_workspace(const workspace& owner)
{
    m_request.workspace = owner.name;
    m_limited = owner.quota ? &owner : nullptr;
    if (auto& claim = m_request.program)
    {
        claim->program = in_workspace(owner.name, claim->program);
        if (claim->previous)
        {
            claim->previous = in_workspace(owner.name, *claim->previous);
        }
    }
}

request_id forwarded_request::turn_id() const
{
    return in_workspace(m_request.workspace, m_request.id);
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

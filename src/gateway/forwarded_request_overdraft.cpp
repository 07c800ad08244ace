// What a request may hand out before its reservation is durable.
#include "forwarded_request.hpp"

#include "masticcourse/telemetry/log.hpp"

namespace masticcourse::gateway::detail
{

namespace
{

/// How long a reservation may take before an overdraft is asked for: several transactions, well under what a
/// caller takes for on time.
constexpr milliseconds calm_reservation{100};
/// The part of a turn's most that an overdraft must allow for the turn to be sent on it: turns generate a
/// quarter of their most on average.
constexpr token_count least_part = 4;

} // namespace

void forwarded_request::plan_overdraft()
{
    // The end of a turn that is kept waits for the store in any case.
    if (is_kept() || m_reservation != reservation_state::pending)
    {
        return;
    }
    if (!m_services.store.reachable())
    {
        draw();
        return;
    }
    take_later(calm_reservation, &forwarded_request::draw);
}

void forwarded_request::draw()
{
    if (m_finished || m_reservation != reservation_state::pending)
    {
        return;
    }
    const auto& claim = *m_request.program;
    m_drawn = true;
    m_services.overdrafts.draw(claim.program, m_request.id, claim.most_tokens,
                               [self = shared_from_this()](token_count granted)
                               { self->on_overdraft(granted); });
}

void forwarded_request::on_overdraft(token_count granted)
{
    const auto& claim = *m_request.program;
    if (m_finished || m_reservation != reservation_state::pending)
    {
        // Nothing of it was used, or a row accounts for the turn by now.
        m_services.overdrafts.clear(claim.program, m_request.id);
        return;
    }
    log_event(event_id::overdraft_drawn, {{"request", m_request.id.value},
                                          {"program", claim.program.value},
                                          {"granted", std::to_string(granted)},
                                          {"most", std::to_string(claim.most_tokens)}});
    m_overdraft = granted;
    if (!m_reserve_first)
    {
        hand_out();
    }
    else if (granted * least_part >= claim.most_tokens)
    {
        m_reserve_first = false;
        if (m_chain_ready)
        {
            dispatch();
        }
    }
    else if (!m_services.store.reachable())
    {
        refuse(refusal_reason::store_away, ran_state::no, "the store that keeps budgets is away",
               after_store_away);
    }
}

void forwarded_request::settle_budget()
{
    if (m_reservation == reservation_state::not_needed)
    {
        return;
    }
    const auto& claim = *m_request.program;
    const auto tokens = m_head_sent ? m_progress->events() * tokens_per_event() : 0;
    const bool ahead = m_drawn && m_reservation == reservation_state::pending;
    if (ahead)
    {
        m_services.overdrafts.settle(claim.program, m_request.id, tokens);
    }
    if (!ahead || tokens == 0)
    {
        m_services.spending.settle(claim.program, m_request.id, tokens);
        return;
    }
    m_services.spending.charge(
        {.program = claim.program, .request = m_request.id, .tokens = tokens, .budget = *claim.budget},
        [&overdrafts = m_services.overdrafts, program = claim.program,
         request = m_request.id](token_count beyond)
        {
            // What lies beyond the budget is the program's overdraft for good.
            overdrafts.settle(program, request, beyond);
        });
}

bool forwarded_request::within_overdraft() const
{
    return m_overdraft > 0 && !is_kept() && m_progress->events() * tokens_per_event() <= m_overdraft;
}

token_count forwarded_request::tokens_per_event() const
{
    const auto* const service =
        m_config->find_service(choose_service(*m_route, m_request.program->program.value));
    return service != nullptr && service->engine ? service->engine->tokens_per_event : 1;
}

} // namespace masticcourse::gateway::detail

// Budget of a turn: overdrafts, which let output be sent before the reservation is durable, and settlement.
#include "forwarded_request.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <utility>

namespace masticcourse::gateway::detail
{

namespace
{

/// How long a reservation may take before an overdraft is requested: several store transactions, but well
/// below the latency that callers consider on time.
constexpr milliseconds overdraft_delay{100};
/// A turn is sent on an overdraft only if that grants at least the turn's maximum divided by this. Turns
/// generate a quarter of their maximum on average.
constexpr token_count min_overdraft_divisor = 4;

} // namespace

std::string_view to_string(token_basis basis)
{
    switch (basis)
    {
    case token_basis::reservation:
        return "reservation";
    case token_basis::overdraft:
        return "overdraft";
    case token_basis::none:
        break;
    }
    return "-";
}

void forwarded_request::schedule_overdraft()
{
    // The end of a stored turn waits for the store in any case.
    if (is_retained() || m_reservation != reservation_state::pending)
    {
        return;
    }
    if (!m_services.store.reachable())
    {
        request_overdraft();
        return;
    }
    schedule(overdraft_delay, &forwarded_request::request_overdraft);
}

void forwarded_request::request_overdraft()
{
    if (m_finished || m_reservation != reservation_state::pending)
    {
        return;
    }
    const auto& context = *m_request.program;
    m_overdraft_requested = true;
    m_services.overdrafts.draw(context.program, turn_id(), context.max_tokens,
                               [self = shared_from_this()](token_count granted)
                               { self->on_overdraft_result(granted); });
}

void forwarded_request::on_overdraft_result(token_count granted)
{
    const auto& context = *m_request.program;
    if (m_finished || m_reservation != reservation_state::pending)
    {
        // Either none of the overdraft was used, or the turn is already accounted for in a durable row.
        m_services.overdrafts.clear(context.program, turn_id());
        return;
    }
    log_event(event_id::overdraft_drawn, {{"request", m_request.id.value},
                                          {"program", context.program.value},
                                          {"granted", std::to_string(granted)},
                                          {"most", std::to_string(context.max_tokens)}});
    m_overdraft_granted = granted;
    if (!m_await_reservation)
    {
        forward_output();
    }
    else if (granted * min_overdraft_divisor >= context.max_tokens)
    {
        m_await_reservation = false;
        if (m_chain_loaded)
        {
            dispatch();
        }
    }
    else if (!m_services.store.reachable())
    {
        refuse(refusal_reason::store_away, ran_state::no, "the store that keeps budgets is away",
               store_unavailable_retry_after);
    }
}

void forwarded_request::settle_budget(settlement_timing timing)
{
    const auto state = std::exchange(m_reservation, reservation_state::not_needed);
    if (state == reservation_state::not_needed)
    {
        return;
    }
    const auto& context = *m_request.program;
    // What was held back cost the caller nothing.
    const auto tokens = m_delivered_tokens;
    const bool forwarded_early = m_overdraft_requested && state == reservation_state::pending;
    if (forwarded_early)
    {
        m_services.overdrafts.settle(context.program, turn_id(), tokens);
    }
    if (!forwarded_early || tokens == 0)
    {
        m_services.spending.settle(context.program, turn_id(), tokens, timing);
        return;
    }
    m_services.spending.charge(
        {.program = context.program, .request = turn_id(), .tokens = tokens, .budget = *context.budget},
        [&overdrafts = m_services.overdrafts, program = context.program,
         request = turn_id()](token_count excess)
        {
            // Tokens in excess of the budget are charged to the program's overdraft permanently.
            overdrafts.settle(program, request, excess);
        });
}

settlement_timing forwarded_request::timing_of(request_outcome outcome) const
{
    switch (outcome)
    {
    case request_outcome::answered:
        return m_turn_durable ? settlement_timing::joined : settlement_timing::immediate;
    case request_outcome::refused:
        return settlement_timing::immediate;
    case request_outcome::broken_off:
    case request_outcome::cancelled:
        break;
    }
    // Until it is settled, a turn that did not end whole counts at its maximum.
    return settlement_timing::joined;
}

bool forwarded_request::within_overdraft() const
{
    return m_overdraft_granted > 0 && !is_retained() && generated_tokens() <= m_overdraft_granted;
}

token_count forwarded_request::generated_tokens() const
{
    return m_progress->event_count() * tokens_per_event();
}

void forwarded_request::record_delivery()
{
    if (!has_budget())
    {
        return;
    }
    m_delivered_tokens = generated_tokens();
    m_delivery_basis =
        m_reservation == reservation_state::pending ? token_basis::overdraft : token_basis::reservation;
}

void forwarded_request::count_delivered_tokens() const
{
    if (m_delivery_basis == token_basis::none)
    {
        return;
    }
    const std::vector<metric_label> labels{{"basis", std::string{to_string(m_delivery_basis)}}};
    m_services.metrics
        .get_counter(
            "masticcourse_budget_tokens_total",
            "Tokens sent to callers of programs with a budget, by what permitted the last of a turn.", labels)
        .add(static_cast<std::uint64_t>(m_delivered_tokens));
}

token_count forwarded_request::tokens_per_event() const
{
    const auto* const found = m_config->find_service(service());
    return found != nullptr && found->engine ? found->engine->tokens_per_event : 1;
}

} // namespace masticcourse::gateway::detail

// Admission and preparation of a request, up to the choice of a target.
#include "forwarded_request.hpp"

#include "masticcourse/gateway/access/access_control.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway::detail
{

forwarded_request::forwarded_request(forwarding_services& services, config_ptr config,
                                     gateway_request request, std::shared_ptr<http_exchange> exchange,
                                     std::function<void(request_outcome)> on_finished)
    : m_services(services), m_config(std::move(config)), m_request(std::move(request)),
      m_exchange(std::move(exchange)), m_on_finished(std::move(on_finished)), m_started(services.clock()),
      m_table_age(services.tables.age()), m_upload_memory(services.memory, memory_use::uploads),
      m_body_memory(services.memory, memory_use::whole_bodies),
      m_event_memory(services.memory, memory_use::whole_bodies),
      m_turn_memory(services.memory, memory_use::turns),
      m_response_memory(services.memory, memory_use::responses)
{
}

void forwarded_request::start()
{
    const std::string_view path{m_request.target};
    m_route = m_config->find_route(m_request.host, path.substr(0, path.find('?')));
    m_deadline = m_started + m_request.timeout.value_or(milliseconds{60'000});
    if (m_route == nullptr)
    {
        refuse_without_route();
        return;
    }
    if (!authorize() || refuse_quarantined())
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
                self->on_caller_disconnected();
            }
        });
    if (is_retained() && m_route->resumable && m_request.last_event_id)
    {
        // The events that the caller already has are not known here, so the complete turn could not be
        // stored.
        refuse(refusal_reason::not_resumable, ran_state::no, "a turn that is kept starts from its beginning",
               milliseconds{0});
        return;
    }
    if (refuse_for_shutdown() || !claim_memory())
    {
        return;
    }
    if (m_quota_workspace != nullptr)
    {
        // The quota is checked before any other work is done for the request.
        acquire_permit(&forwarded_request::begin);
        return;
    }
    begin();
}

void forwarded_request::begin()
{
    if (!m_request.rest)
    {
        prepare();
    }
    else if (is_retained())
    {
        read_whole_body();
    }
    else
    {
        set_up_upload();
        prepare();
    }
}

void forwarded_request::prepare()
{
    if (is_stream())
    {
        m_progress.emplace(is_retained());
    }
    if (has_budget())
    {
        start_budgeted_turn();
    }
    else
    {
        load_chain();
    }
}

void forwarded_request::acquire_permit(void (forwarded_request::*handler)())
{
    const auto on_result = [self = shared_from_this(), handler](const quota_result& result)
    {
        if (self->m_finished)
        {
            return;
        }
        if (const auto* const refusal = std::get_if<quota_refusal>(&result))
        {
            self->refuse_for_quota(*refusal);
            return;
        }
        self->m_permit = std::get<quota_permit>(result);
        (self.get()->*handler)();
    };
    m_services.quotas.acquire(*m_quota_workspace,
                              is_program_start() ? admission_kind::start : admission_kind::other, on_result);
}

bool forwarded_request::is_program_start() const
{
    return is_retained() && m_request.program && !previous_turn();
}

bool forwarded_request::has_permit() const
{
    return m_quota_workspace == nullptr || (m_permit && m_services.quotas.valid(*m_permit));
}

void forwarded_request::refuse_for_quota(const quota_refusal& refusal)
{
    const auto ran = m_may_have_executed ? ran_state::unknown : ran_state::no;
    if (refusal.used_up)
    {
        refuse(refusal_reason::over_quota, ran,
               is_program_start() ? "the quota holds no further program" : "the quota is used up",
               refusal.retry_after);
        return;
    }
    refuse(refusal_reason::quota_undecided, ran, "no holder of the quota answers", refusal.retry_after);
}

void forwarded_request::refuse_without_route()
{
    if (configuration_is_current())
    {
        refuse(refusal_reason::no_route, ran_state::no, "no route for " + m_request.host);
        return;
    }
    refuse(refusal_reason::tables_out_of_date, ran_state::no,
           "no route for " + m_request.host + " in a configuration that may be out of date",
           store_unavailable_retry_after);
}

bool forwarded_request::configuration_is_current() const
{
    // While the store is unreachable, other gateways may already use a newer configuration.
    return m_services.store.reachable() && m_services.tables.currency() == table_currency::current;
}

bool forwarded_request::authorize()
{
    const auto access = check_access(*m_config, *m_route, m_request.access_key, configuration_is_current());
    m_request.access_key.clear();
    switch (access.outcome)
    {
    case access_outcome::open:
        return true;
    case access_outcome::granted:
        set_workspace(*access.owner);
        return true;
    case access_outcome::unknown_key:
        refuse(refusal_reason::unknown_key, ran_state::no, "the key opens no workspace");
        return false;
    case access_outcome::undecided:
        break;
    }
    refuse(refusal_reason::key_undecided, ran_state::no, "the newest configuration can't be read",
           store_unavailable_retry_after);
    return false;
}

void forwarded_request::set_workspace(const workspace& owner)
{
    m_request.workspace = owner.name;
    m_quota_workspace = owner.quota ? &owner : nullptr;
    if (auto& context = m_request.program)
    {
        const bool is_main_line = context->session == context->program.value;
        context->program = workspace_scoped_id(owner.name, context->program);
        if (is_main_line)
        {
            context->session = context->program.value;
        }
        if (context->previous_turn)
        {
            context->previous_turn = workspace_scoped_id(owner.name, *context->previous_turn);
        }
    }
}

request_id forwarded_request::turn_id() const
{
    return workspace_scoped_id(m_request.workspace, m_request.id);
}

bool forwarded_request::has_budget() const
{
    return is_stream() && m_request.program && m_request.program->budget;
}

bool forwarded_request::is_retained() const
{
    return is_stream() && m_route->retains_turns();
}

std::optional<request_id> forwarded_request::previous_turn() const
{
    return is_retained() && m_request.program ? m_request.program->previous_turn : std::nullopt;
}

milliseconds forwarded_request::time_left() const
{
    return std::chrono::floor<milliseconds>(m_deadline - m_services.clock());
}

void forwarded_request::set_deadline()
{
    schedule(std::max(time_left(), milliseconds{0}), &forwarded_request::on_deadline);
}

void forwarded_request::schedule(milliseconds delay, timer_handler handler)
{
    auto timer = m_services.start_timer(delay,
                                        [weak = weak_from_this(), handler]
                                        {
                                            if (const auto self = weak.lock())
                                            {
                                                (self.get()->*handler)();
                                            }
                                        });
    const auto it = std::ranges::find(m_timers, handler, &handler_timer::handler);
    if (it != m_timers.end())
    {
        it->handle = std::move(timer);
        return;
    }
    m_timers.push_back({handler, std::move(timer)});
}

void forwarded_request::start_budgeted_turn()
{
    const auto& context = *m_request.program;
    if (previous_turn() && m_services.spending.is_unknown(context.program))
    {
        m_services.spending.look_up(context.program, [self = shared_from_this()] { self->reserve(); });
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
    const auto& context = *m_request.program;
    const reservation_request reservation{.program = context.program,
                                          .request = turn_id(),
                                          .tokens = context.max_tokens,
                                          .budget = *context.budget,
                                          .first_turn = !previous_turn().has_value(),
                                          .expires = m_deadline};
    m_await_reservation = !m_services.spending.has_headroom(reservation);
    if (m_await_reservation && is_retained() && !m_services.store.reachable())
    {
        refuse(refusal_reason::store_away, ran_state::no, "the store that keeps budgets is away",
               store_unavailable_retry_after);
        return;
    }
    // While the store is unreachable, a turn that certainly fits the budget still runs; its events and its
    // end are held back until the store is reachable again. A program ends with its third failed turn.
    // Programs whose turns wait survive longer outages than programs whose turns are refused, and continue as
    // soon as the store returns.
    m_reservation = reservation_state::pending;
    m_services.spending.reserve(reservation, [self = shared_from_this()](reservation_outcome outcome)
                                { self->on_reservation_result(outcome); });
    if (!m_finished)
    {
        schedule_overdraft();
        load_chain();
    }
}

void forwarded_request::load_chain()
{
    const auto previous = previous_turn();
    if (!previous)
    {
        turn_chain none{.outcome = turn_outcome::found};
        none.memory = {m_services.memory, memory_use::turns};
        on_chain_loaded(std::move(none));
        return;
    }
    m_services.turns.load_chain(*previous, [self = shared_from_this()](turn_chain chain)
                                { self->on_chain_loaded(std::move(chain)); });
}

void forwarded_request::on_chain_loaded(turn_chain chain)
{
    if (m_finished)
    {
        return;
    }
    switch (chain.outcome)
    {
    case turn_outcome::missing:
        refuse(refusal_reason::no_such_turn, ran_state::no,
               "no turn " + m_request.program->previous_turn->value);
        return;
    case turn_outcome::unavailable:
        refuse(refusal_reason::store_away, ran_state::no, "the turn before can't be read",
               store_unavailable_retry_after);
        return;
    case turn_outcome::no_memory:
        refuse_without_memory();
        return;
    case turn_outcome::too_long:
        refuse(refusal_reason::history_too_long, ran_state::no,
               "the history has " + std::to_string(max_history_turns) + " turns, the most that it may have");
        return;
    case turn_outcome::found:
        break;
    }
    m_turn_memory = std::move(chain.memory);
    m_chain = std::move(chain);
    m_chain_loaded = true;
    if (!m_await_reservation || m_reservation == reservation_state::granted)
    {
        dispatch();
    }
}

void forwarded_request::on_reservation_result(reservation_outcome outcome)
{
    if (m_finished)
    {
        return;
    }
    const bool sent = may_have_run();
    switch (outcome)
    {
    case reservation_outcome::granted:
        m_reservation = reservation_state::granted;
        if (m_overdraft_requested)
        {
            m_services.overdrafts.clear(m_request.program->program, turn_id());
        }
        if (m_await_reservation && m_chain_loaded)
        {
            dispatch();
        }
        else
        {
            forward_output();
        }
        return;
    case reservation_outcome::over_budget:
        if (!m_overdraft_requested)
        {
            // Nothing was reserved, and nothing has been sent to the caller.
            m_reservation = reservation_state::not_needed;
        }
        if (sent)
        {
            // The request has been sent to a target, so it can no longer be reported as not executed.
            refuse(refusal_reason::target_failed, ran_state::unknown, "the budget went elsewhere meanwhile");
            return;
        }
        refuse(refusal_reason::over_budget, ran_state::no, "the budget holds no further turn");
        return;
    case reservation_outcome::unavailable:
        refuse(refusal_reason::store_away, sent ? ran_state::unknown : ran_state::no,
               "the budget can't be reserved", store_unavailable_retry_after);
        return;
    }
}

} // namespace masticcourse::gateway::detail

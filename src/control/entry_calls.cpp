// Calls from their acceptance to the point where they can be sent: order, loops, budget, deadlines.
#include "entry_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_soon = std::chrono::milliseconds{300};

const turn* find_turn(const program_state& program, const call_key& key)
{
    const auto it = std::ranges::find(program.turns, key, &turn::key);
    return it != program.turns.end() ? &*it : nullptr;
}

problem key_reused()
{
    return {problem_id::key_reused, ran_state::no, "this key named a call with another body"};
}

/// Whether an outcome may be told before its record is durable. The outcome of an action that can't be
/// repeated never is: it would be lost if this process and the target process both died before the store is
/// back.
bool may_tell_pending(const entry_state& state, const call_row& call)
{
    return call.phase == call_phase::committing && call.request.idempotent && may_reply_pending(state);
}

/// The same key again: the caller gets the outcome, or waits for it beside the others. Nothing runs twice.
bool repeats(entry_state& state, const reply_route& route, const forward_request& raw,
             const program_state& program, const call_key& key, std::optional<std::uint64_t> digest)
{
    if (const auto it = state.calls.find({program.program, key}); it != state.calls.end())
    {
        auto& call = it->second;
        auto joined = make_waiter(route, raw);
        if (digest && *digest != call.digest)
        {
            deliver_problem(state, joined, key_reused());
            return true;
        }
        state.trace(event_id::call_repeated, program.program, key);
        if (may_tell_pending(state, call))
        {
            deliver(state, joined, call.turn_number, key, call.outcome, false);
            return true;
        }
        stream_to(state, joined, call.streamed);
        call.waiters.push_back(joined);
        return true;
    }
    const auto* const done = find_turn(program, key);
    if (done == nullptr)
    {
        return false;
    }
    auto joined = make_waiter(route, raw);
    if (digest && *digest != done->request_digest)
    {
        deliver_problem(state, joined, key_reused());
        return true;
    }
    state.trace(event_id::call_repeated, program.program, key);
    deliver(state, joined, done->number, key, done->outcome, true);
    return true;
}

/// What stands against a new call of this program, before it gets a row.
problem refusal_of(const entry_state& state, const program_state& program, const call_request& call)
{
    if (program.ended)
    {
        return {problem_id::program_ended, ran_state::no, "the program has ended"};
    }
    if (auto failure = obstacle(state); failure.failed())
    {
        return failure;
    }
    if (call.after && *call.after > program.turns.size())
    {
        return {problem_id::history_not_recovered, ran_state::no,
                "this home knows " + std::to_string(program.turns.size()) + " turns, the caller has seen " +
                    std::to_string(*call.after),
                retry_soon};
    }
    const auto& runtime = state.runtimes.at(program.program);
    const bool idle = !runtime.active && runtime.waiting.empty();
    if (call.after && *call.after < program.turns.size() && idle)
    {
        // A pending turn that the caller took for lost may have been recovered since: it must not go on from
        // another history than the one that is there.
        return {problem_id::turn_out_of_order, ran_state::no,
                "the history has " + std::to_string(program.turns.size()) + " turns, the caller has seen " +
                    std::to_string(*call.after) + ": read it first"};
    }
    if (!call.idempotent && journal_is_stalled(state))
    {
        return {problem_id::store_unavailable, ran_state::no,
                "the intent of a non-idempotent call can't be made durable now", std::chrono::seconds{2}};
    }
    if (state.view.find_service(call.service) == nullptr)
    {
        return {problem_id::unknown_service, ran_state::no, "the configuration has no such service"};
    }
    return {};
}

call_row make_call(const entry_state& state, const forward_request& raw, const submit_call& request)
{
    call_row call;
    call.ref = {request.program, request.call.key};
    call.request = request.call;
    call.workspace = raw.workspace;
    call.digest = digest_of(request.call);
    call.accepted = state.now;
    const auto* const service = state.view.find_service(request.call.service);
    const core_duration usual =
        service != nullptr ? core_duration{service->default_deadline} : state.options.default_deadline;
    const core_duration allowed = request.call.deadline ? core_duration{*request.call.deadline} : usual;
    call.deadline = state.now + std::min(allowed, state.options.longest_deadline);
    return call;
}

void refuse(entry_state& state, const reply_route& route, const forward_request& raw, const call_ref& ref,
            const problem& failure)
{
    ++state.counts.calls_refused;
    state.trace(event_id::call_refused, ref.program, ref.key,
                {{"problem", std::to_string(static_cast<int>(failure.id))}});
    auto caller = make_waiter(route, raw);
    deliver_problem(state, caller, failure);
}

/// Calls that a program made before this process became its home count too.
void fill_guard(entry_state& state, const program_state& program, program_runtime& runtime)
{
    if (std::exchange(runtime.guard_filled, true))
    {
        return;
    }
    runtime.guard = loop_guard{
        {.max_turns = state.view.limits.turn_limit, .max_repeats = state.view.limits.repeat_limit}};
    std::ranges::for_each(program.turns, [&](const turn& it) { runtime.guard.check(it.request_digest); });
}

problem loop_problem(problem_id id)
{
    const std::string detail = id == problem_id::turn_limit ? "the program has had all turns that it may have"
                                                            : "the program repeats the same call without end";
    return {id, ran_state::no, detail};
}

void on_deadline(entry_state& state, call_row& call)
{
    state.trace(event_id::call_deadline_passed, call.ref.program, call.ref.key);
    if (call.phase == call_phase::dispatched || call.phase == call_phase::asking)
    {
        send_to(state, call.target, cancel_call{call.ref});
        const problem late{call.request.idempotent ? problem_id::deadline_passed
                                                   : problem_id::outcome_unknown,
                           ran_state::unknown, "the deadline passed and the target has not answered"};
        if (!call.request.idempotent)
        {
            state.trace(event_id::call_outcome_unknown, call.ref.program, call.ref.key);
            finish_with_turn(state, call, {.error = late});
            return;
        }
        finish_without_turn(state, call.ref, late);
        return;
    }
    finish_without_turn(
        state, call.ref,
        {problem_id::deadline_passed, ran_state::no, "the deadline passed before the call ran"});
}

/// Whether a call waits for a record that the store does not take: it has not been sent, and is refused.
bool waits_for_store(const entry_state& state, const call_row& call)
{
    const bool waits = call.phase == call_phase::waiting_intent || call.phase == call_phase::waiting_escrow;
    return waits && journal_is_stalled(state);
}

/// An idempotent call whose target process can't be reached for long goes elsewhere.
bool waits_in_vain(const entry_state& state, const call_row& call)
{
    const auto it = state.peers.find(call.target);
    if (call.phase != call_phase::dispatched || !call.request.idempotent || it == state.peers.end())
    {
        return false;
    }
    const auto& peer = it->second;
    return !peer.live &&
           state.now - std::max(peer.last_heard, call.dispatched) > state.options.target_patience;
}

/// A finished turn's reply waits for its record; when that takes long and nobody reaches the store, it says
/// `pending` instead.
void tell_pending(entry_state& state, call_row& call)
{
    const bool waited = state.now - call.finished > state.options.durability_wait;
    if (!waited || call.waiters.empty() || !may_tell_pending(state, call))
    {
        return;
    }
    for (auto& it : call.waiters)
    {
        deliver(state, it, call.turn_number, call.ref.key, call.outcome, false);
    }
    call.waiters.clear();
}

} // namespace

void request_escrow(entry_state& state, const program_id& root, token_count cost)
{
    auto& ledger = state.ledgers.at(root);
    const auto total = ledger.needs_escrow(cost);
    if (!total)
    {
        return;
    }
    ledger.escrow_requested(*total);
    const escrow_taken record{root, *total};
    state.programs.apply(record);
    when_durable(state, append(state, root, record), escrow_is_durable{root, *total});
}

bool reserve_budget(entry_state& state, call_row& call)
{
    const auto root = root_of(call.ref.program);
    auto& ledger = state.ledgers.at(root);
    const auto& runtime = state.runtimes[call.ref.program];
    const auto cost = worst_case_cost(call.request, runtime.history_tokens);
    call.reserved = ledger.reserve(call.ref.program, cost);
    if (call.reserved)
    {
        // The next call will cost about as much: what it needs is made durable while this one runs.
        request_escrow(state, root, cost);
        return true;
    }
    if (!ledger.affordable(call.ref.program, cost))
    {
        state.trace(event_id::budget_refused, call.ref.program, call.ref.key,
                    {{"cost", std::to_string(cost)}, {"spent", std::to_string(ledger.spent())}});
        finish_without_turn(state, call.ref,
                            {problem_id::budget_exceeded, ran_state::no,
                             "the call may cost " + std::to_string(cost) + " tokens"});
        return false;
    }
    if (journal_is_stalled(state))
    {
        finish_without_turn(state, call.ref,
                            {problem_id::store_unavailable, ran_state::no,
                             "more of the budget can't be set aside now", std::chrono::seconds{2}});
        return false;
    }
    call.phase = call_phase::waiting_escrow;
    request_escrow(state, root, cost);
    return false;
}

void handle_call(entry_state& state, const reply_route& route, const forward_request& raw,
                 const submit_call& request)
{
    const call_ref ref{request.program, request.call.key};
    const auto* const program = find_program(state, raw.workspace, request.program);
    if (program == nullptr)
    {
        refuse(state, route, raw, ref, unknown_program_problem());
        return;
    }
    if (repeats(state, route, raw, *program, ref.key, digest_of(request.call)))
    {
        return;
    }
    if (const auto failure = refusal_of(state, *program, request.call); failure.failed())
    {
        refuse(state, route, raw, ref, failure);
        return;
    }
    auto& runtime = state.runtimes[request.program];
    if (runtime.waiting.size() >= state.options.max_waiting_calls)
    {
        refuse(state, route, raw, ref,
               {problem_id::turn_out_of_order, ran_state::no, "too many calls of this program wait",
                retry_soon});
        return;
    }
    auto call = make_call(state, raw, request);
    call.waiters.push_back(make_waiter(route, raw));
    ++state.counts.calls_accepted;
    state.trace(event_id::call_accepted, ref.program, ref.key, {{"service", request.call.service.value}});
    state.calls.emplace(ref, std::move(call));
    runtime.waiting.push_back(ref.key);
    start_next(state, request.program);
}

void handle_get_call(entry_state& state, const reply_route& route, const forward_request& raw,
                     const get_call& request)
{
    const auto* const program = find_program(state, raw.workspace, request.program);
    if (program == nullptr)
    {
        reply_problem(state, route, unknown_program_problem());
        return;
    }
    if (!repeats(state, route, raw, *program, request.key, std::nullopt))
    {
        reply_problem(state, route,
                      {problem_id::unknown_call, ran_state::no, "this program has no such call"});
    }
}

void start_next(entry_state& state, const program_id& program)
{
    const auto it = state.runtimes.find(program);
    if (it == state.runtimes.end() || it->second.active || it->second.waiting.empty())
    {
        return;
    }
    auto& runtime = it->second;
    runtime.active = runtime.waiting.front();
    runtime.waiting.pop_front();
    runtime.last_activity = state.now;
    begin_call(state, state.calls.at({program, *runtime.active}));
}

void begin_call(entry_state& state, call_row& call)
{
    const auto& program = *state.programs.find(call.ref.program);
    auto& runtime = state.runtimes[call.ref.program];
    call.turn_number = static_cast<std::uint32_t>(program.turns.size() + 1);
    fill_guard(state, program, runtime);
    // Only what becomes a turn counts: a refused call that comes again is no loop.
    auto guard = runtime.guard;
    if (const auto id = guard.check(call.digest); id != problem_id::none)
    {
        state.trace(event_id::loop_stopped, call.ref.program, call.ref.key);
        finish_without_turn(state, call.ref, loop_problem(id));
        return;
    }
    if (const auto failure = overload_refusal(state, call); failure.failed())
    {
        state.trace(event_id::overload_refused, call.ref.program, call.ref.key);
        finish_without_turn(state, call.ref, failure);
        return;
    }
    if (reserve_budget(state, call))
    {
        state.retries.record_request();
        route_call(state, call);
    }
}

void on_escrow_durable(entry_state& state, const escrow_is_durable& event)
{
    const auto it = state.ledgers.find(event.root);
    if (it == state.ledgers.end())
    {
        return;
    }
    it->second.escrow_durable(event.total);
    std::vector<call_ref> ready;
    for (const auto& [ref, call] : state.calls)
    {
        if (call.phase == call_phase::waiting_escrow && root_of(ref.program) == event.root)
        {
            ready.push_back(ref);
        }
    }
    for (const auto& ref : ready)
    {
        auto& call = state.calls.at(ref);
        if (reserve_budget(state, call))
        {
            route_call(state, call);
        }
    }
}

void run_calls(entry_state& state)
{
    std::vector<call_ref> late;
    std::vector<call_ref> committing;
    std::vector<call_ref> withdrawing;
    std::vector<call_ref> stranded;
    std::vector<call_ref> stalled;
    for (const auto& [ref, call] : state.calls)
    {
        if (call.phase == call_phase::committing)
        {
            committing.push_back(ref);
        }
        else if (call.phase == call_phase::withdrawing)
        {
            withdrawing.push_back(ref);
        }
        else if (state.now >= call.deadline)
        {
            late.push_back(ref);
        }
        else if (waits_for_store(state, call))
        {
            stalled.push_back(ref);
        }
        else if (waits_in_vain(state, call))
        {
            stranded.push_back(ref);
        }
    }
    for (const auto& ref : late)
    {
        if (const auto it = state.calls.find(ref); it != state.calls.end())
        {
            on_deadline(state, it->second);
        }
    }
    const problem away{problem_id::store_unavailable, ran_state::no,
                       "what must be durable before the call can be sent can't be made so now",
                       std::chrono::seconds{2}};
    std::ranges::for_each(stalled, [&](const call_ref& ref) { finish_without_turn(state, ref, away); });
    for (const auto& ref : stranded)
    {
        if (const auto it = state.calls.find(ref); it != state.calls.end())
        {
            target_forgot(state, it->second);
        }
    }
    for (const auto& ref : committing)
    {
        if (const auto it = state.calls.find(ref); it != state.calls.end())
        {
            tell_pending(state, it->second);
        }
    }
    for (const auto& ref : withdrawing)
    {
        if (const auto it = state.calls.find(ref); it != state.calls.end())
        {
            run_withdrawal(state, it->second);
        }
    }
}

} // namespace masticcourse::detail

// What comes of a call: tokens, outcomes, late and crossed answers, and the turn that it becomes.
#include "entry_systems.hpp"

#include "masticcourse/core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_soon = std::chrono::milliseconds{300};

void clear_active(entry_state& state, const call_ref& ref)
{
    const auto it = state.runtimes.find(ref.program);
    if (it != state.runtimes.end() && it->second.active == ref.key)
    {
        it->second.active.reset();
    }
}

/// Calls that were sent before this one's failure was known depend on it: they are refused.
void refuse_behind(entry_state& state, const call_ref& ref)
{
    const auto it = state.runtimes.find(ref.program);
    if (it == state.runtimes.end())
    {
        return;
    }
    auto& waiting = it->second.waiting;
    const auto own_place = std::ranges::find(waiting, ref.key);
    const auto first = own_place == waiting.end() ? waiting.begin() : own_place;
    const std::vector<call_key> behind(first, waiting.end());
    waiting.erase(first, waiting.end());
    const problem failure{problem_id::turn_out_of_order, ran_state::no,
                          "an earlier call of this program has not run", retry_soon};
    for (const auto& key : behind)
    {
        const auto call = state.calls.find({ref.program, key});
        if (call == state.calls.end())
        {
            continue;
        }
        for (auto& waiter : call->second.waiters)
        {
            deliver_problem(state, waiter, failure);
        }
        state.calls.erase(call);
    }
}

/// Target processes that no longer hold a prefix of the program need no lease for it.
void narrow_leases(program_runtime& runtime)
{
    std::erase_if(runtime.touched,
                  [&](const process_name& name) {
                      return std::ranges::find(runtime.prefixes, name, &prefix_place::target) ==
                             runtime.prefixes.end();
                  });
}

void remember_prefix(program_runtime& runtime, const process_name& target, token_count tokens)
{
    const auto it = std::ranges::find(runtime.prefixes, target, &prefix_place::target);
    if (it != runtime.prefixes.end())
    {
        it->tokens = tokens;
        return;
    }
    runtime.prefixes.push_back({target, tokens});
}

void note_success(entry_state& state, const call_row& call, const call_outcome& outcome)
{
    auto& runtime = state.runtimes[call.ref.program];
    runtime.last_activity = state.now;
    if (call.request.kind == call_kind::model)
    {
        runtime.attained += outcome.usage.charged();
        runtime.history_tokens = outcome.usage.prompt + outcome.usage.completion;
        runtime.last_target = call.target;
        remember_prefix(runtime, call.target, runtime.history_tokens);
        narrow_leases(runtime);
        return;
    }
    runtime.history_tokens += estimate_tokens(call.request.input) + estimate_tokens(outcome.output);
}

/// The tokens that the call costs its program.
token_count charge(entry_state& state, call_row& call, const call_outcome& outcome)
{
    if (!call.reserved)
    {
        // Recovered: the escrow that its former home took for it counts as spent already.
        return outcome.usage.charged();
    }
    auto& ledger = state.ledgers.at(root_of(call.ref.program));
    const auto charged = ledger.settle(*call.reserved, outcome.usage.charged());
    call.reserved.reset();
    return charged;
}

void stream_rest(entry_state& state, call_row& call)
{
    for (auto& it : call.waiters)
    {
        stream_to(state, it, call.streamed);
    }
}

bool may_run_again(const call_row& call, const problem& failure)
{
    return failure.id != problem_id::cancelled && failure.id != problem_id::deadline_passed &&
           (failure.ran == ran_state::no || call.request.idempotent);
}

} // namespace

void finish_with_turn(entry_state& state, call_row& call, call_outcome outcome)
{
    leave_target(state, call);
    const auto spent = charge(state, call, outcome);
    note_success(state, call, outcome);
    state.runtimes[call.ref.program].guard.check(call.digest);
    call.outcome = outcome;
    call.phase = call_phase::committing;
    call.finished = state.now;
    const turn_committed record{.program = call.ref.program,
                                .finished = {.number = call.turn_number,
                                             .key = call.ref.key,
                                             .request_digest = call.digest,
                                             .service = call.request.service,
                                             .kind = call.request.kind,
                                             .input = call.request.input,
                                             .outcome = std::move(outcome)},
                                .spent = state.programs.find(call.ref.program)->spent + spent};
    const auto applied = state.programs.apply(record);
    MASTICCOURSE_INVARIANT(applied == apply_result::applied, "a turn follows the history it is added to");
    when_durable(state, append(state, call.ref.program, record), turn_is_durable{call.ref});
    ++state.counts.calls_finished;
    state.trace(event_id::call_finished, call.ref.program, call.ref.key,
                {{"turn", std::to_string(call.turn_number)},
                 {"prompt", std::to_string(call.outcome.usage.prompt)},
                 {"cached", std::to_string(call.outcome.usage.cached)}});
    const auto program = call.ref.program;
    clear_active(state, call.ref);
    start_next(state, program);
}

void finish_without_turn(entry_state& state, const call_ref& given, const problem& failure)
{
    // The reference may point into the row that ends here.
    const auto ref = given;
    const auto it = state.calls.find(ref);
    if (it == state.calls.end())
    {
        return;
    }
    auto& call = it->second;
    leave_target(state, call);
    withdraw(state, call);
    if (call.reserved)
    {
        auto& ledger = state.ledgers.at(root_of(ref.program));
        const bool cost_nothing = failure.ran == ran_state::no;
        cost_nothing ? ledger.cancel(*call.reserved)
                     : static_cast<void>(ledger.settle(*call.reserved, call.reserved->amount));
    }
    ++state.counts.calls_refused;
    state.trace(event_id::call_refused, ref.program, ref.key,
                {{"problem", std::to_string(static_cast<int>(failure.id))}});
    call.phase = call_phase::withdrawing;
    call.finished = state.now;
    call.failure = failure;
    if (call.lost_attempts > 0 && failure.ran == ran_state::no)
    {
        // Only the last attempt has not run.
        call.failure.ran = ran_state::unknown;
        call.failure.retry_after.reset();
    }
    run_withdrawal(state, call);
    clear_active(state, ref);
    refuse_behind(state, ref);
}

void outcome_is_unknown(entry_state& state, call_row& call, const std::string& reason)
{
    state.trace(event_id::call_outcome_unknown, call.ref.program, call.ref.key);
    finish_with_turn(state, call, {.error = {problem_id::outcome_unknown, ran_state::unknown, reason}});
}

void on_call_tokens(entry_state& state, const process_name& target, const call_tokens& message)
{
    auto* const call = call_at(state, message.call, target);
    if (call == nullptr || message.sequence > call->next_sequence)
    {
        // A gap is filled by the whole outcome at the end.
        return;
    }
    if (message.sequence == 0 && !call->streamed.empty())
    {
        call->streamed.clear();
        call->next_sequence = 0;
    }
    if (message.sequence < call->next_sequence)
    {
        return;
    }
    if (call->streamed.empty())
    {
        state.trace(event_id::call_first_token, message.call.program, message.call.key);
    }
    call->streamed += message.text;
    ++call->next_sequence;
    stream_rest(state, *call);
}

void on_call_finished(entry_state& state, const process_name& target, const call_finished& message)
{
    auto* const call = call_at(state, message.call, target);
    if (call == nullptr)
    {
        const auto* const program = state.programs.find(message.call.program);
        const auto is_it = [&](const turn& it) { return it.key == message.call.key; };
        const bool known = program != nullptr && std::ranges::any_of(program->turns, is_it) &&
                           !state.calls.contains(message.call);
        if (known)
        {
            send_to(state, target, outcome_durable{message.call});
        }
        return;
    }
    auto& breaker = state.targets[target].breaker;
    const auto& error = message.outcome.error;
    if (!error.failed())
    {
        breaker.on_success(state.now);
        call->streamed = message.outcome.output;
        stream_rest(state, *call);
        finish_with_turn(state, *call, message.outcome);
        return;
    }
    breaker.on_failure(state.now);
    if (may_run_again(*call, error))
    {
        retry_or_fail(state, *call, error);
        return;
    }
    if (!call->request.idempotent && error.ran != ran_state::no)
    {
        finish_with_turn(state, *call, message.outcome);
        return;
    }
    finish_without_turn(state, message.call, error);
}

void on_call_answer(entry_state& state, const process_name& target, const call_answer& message)
{
    auto* const call = call_at(state, message.call, target);
    const bool stale = message.knowledge == call_knowledge::stale_epoch;
    if (call == nullptr || (call->phase != call_phase::asking && !stale))
    {
        return;
    }
    switch (message.knowledge)
    {
    case call_knowledge::in_progress:
        call->phase = call_phase::dispatched;
        return;
    case call_knowledge::finished:
        call->phase = call_phase::dispatched;
        on_call_finished(state, target, {.call = message.call, .outcome = message.outcome});
        return;
    case call_knowledge::never_seen:
        finish_without_turn(state, message.call,
                            {problem_id::target_refused, ran_state::no, "the call did not run", retry_soon});
        return;
    case call_knowledge::stale_epoch:
        lose_shard(state, shard_of(message.call.program, state.options.shards),
                   shard_for(state, message.call.program).epoch);
        return;
    }
}

void on_turn_durable(entry_state& state, const call_ref& ref)
{
    const auto it = state.calls.find(ref);
    if (it == state.calls.end() || it->second.phase != call_phase::committing)
    {
        return;
    }
    auto call = std::move(it->second);
    state.calls.erase(it);
    state.trace(event_id::call_committed, ref.program, ref.key);
    for (auto& waiter : call.waiters)
    {
        deliver(state, waiter, call.turn_number, ref.key, call.outcome, true);
    }
    send_to(state, call.target, outcome_durable{ref});
}

void abandon_call(entry_state& state, const call_ref& ref)
{
    const auto it = state.calls.find(ref);
    auto call = std::move(it->second);
    state.calls.erase(it);
    const bool unsent = call.phase == call_phase::waiting_turn || call.phase == call_phase::waiting_escrow ||
                        call.phase == call_phase::waiting_intent || call.phase == call_phase::withdrawing;
    const bool not_run = unsent && !may_outlive_withdrawal(state, call);
    leave_target(state, call);
    const problem failure{problem_id::lost_home, not_run ? ran_state::no : ran_state::unknown,
                          "another process is this program's home now; the same key gives the outcome",
                          retry_soon};
    for (auto& waiter : call.waiters)
    {
        deliver_problem(state, waiter, failure);
    }
}

void fail_awaiting(entry_state& state)
{
    const problem lost{problem_id::lost_home, ran_state::unknown,
                       "another process took over before this was durable; the same key gives the outcome",
                       retry_soon};
    for (const auto& row : std::exchange(state.awaiting, {}))
    {
        if (const auto* const route = waiting_route(row.event); route != nullptr && !row.told)
        {
            reply_problem(state, *route, lost);
        }
    }
}

void forget_target_memory(entry_state& state, const process_name& target)
{
    for (auto& [id, runtime] : state.runtimes)
    {
        std::erase_if(runtime.prefixes, [&](const prefix_place& it) { return it.target == target; });
        runtime.touched.erase(target);
    }
}

void remove_waiters(entry_state& state, request_id id)
{
    const auto is_it = [&](const waiter& it)
    {
        const auto* const local = std::get_if<local_caller>(&it.route);
        return local != nullptr && local->id == id;
    };
    for (auto& [ref, call] : state.calls)
    {
        std::erase_if(call.waiters, is_it);
    }
}

} // namespace masticcourse::detail

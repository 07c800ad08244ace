// Calls that failed before they ran: "not run" is told only once no successor can think otherwise.
#include "entry_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_later = std::chrono::seconds{2};

bool is_intended(const entry_state& state, const call_ref& ref)
{
    const auto* const program = state.programs.find(ref.program);
    const auto is_it = [&](const call_intended& it) { return it.request.key == ref.key; };
    return program != nullptr && std::ranges::any_of(program->intents, is_it);
}

/// Takes the intent out of the journal, if the store can't have it yet.
/// @return whether no successor will ever read it
bool take_back_intent(entry_state& state, call_row& call)
{
    // Snapshots of a checkpoint in progress may repeat the intent.
    if (shard_for(state, call.ref.program).checkpoint_from)
    {
        return false;
    }
    const bool taken_back =
        state.journal->try_replace(call.intent, intent_withdrawn{call.ref.program, call.ref.key});
    call.intent = taken_back ? 0 : call.intent;
    return taken_back;
}

void tell_waiters(entry_state& state, call_row& call, const problem& failure)
{
    for (auto& waiter : std::exchange(call.waiters, {}))
    {
        deliver_problem(state, waiter, failure);
    }
}

} // namespace

void withdraw(entry_state& state, call_row& call)
{
    if (!is_intended(state, call.ref))
    {
        return;
    }
    const intent_withdrawn record{call.ref.program, call.ref.key};
    state.programs.apply(record);
    if (!take_back_intent(state, call))
    {
        call.withdrawal = append(state, call.ref.program, record);
    }
}

bool may_outlive_withdrawal(const entry_state& state, const call_row& call)
{
    return is_intended(state, call.ref) || call.withdrawal > state.journal->durable();
}

void run_withdrawal(entry_state& state, call_row& call)
{
    if (call.withdrawal > state.journal->durable() && take_back_intent(state, call))
    {
        call.withdrawal = call.former_withdrawal;
    }
    if (!may_outlive_withdrawal(state, call))
    {
        tell_waiters(state, call, call.failure);
        send_to(state, call.target, outcome_durable{call.ref});
        state.calls.erase(call_ref{call.ref});
        return;
    }
    if (state.now - call.finished > state.options.durability_wait)
    {
        tell_waiters(
            state, call,
            {problem_id::store_unavailable, ran_state::unknown,
             "the call was not sent, which can't be made durable now; the same key gives the outcome",
             retry_later});
    }
}

} // namespace masticcourse::detail

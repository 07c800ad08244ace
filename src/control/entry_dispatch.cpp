// Where a call goes, and what happens to it on the way there.
#include "entry_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_later = std::chrono::seconds{1};

/// The targets of one service as the placement policy sees them.
struct service_view
{
    std::vector<target_view> targets;
    std::vector<cached_prefix> cached;
    std::optional<std::size_t> last;
};

bool is_usable(const entry_state& state, const peer_row& peer, const call_row& call)
{
    const bool tried = std::ranges::find(call.tried, peer.known.name) != call.tried.end();
    const auto* const config = state.view.find_target(peer.known.name);
    const bool leaving = peer.leaving || peer.known.leaving || (config != nullptr && config->leaving);
    return peer.live && !leaving && !tried && state.targets.at(peer.known.name).breaker.allows(state.now);
}

target_view view_of(const entry_state& state, const peer_row& peer, const call_row& call)
{
    const auto& target = state.targets.at(peer.known.name);
    target_view view{.name = peer.known.name,
                     .failure_domain = peer.known.failure_domain,
                     .report = target.report.value_or(target_load{}),
                     .report_time = target.reported,
                     .usable = is_usable(state, peer, call)};
    target.tracker.apply_to(view, state.now, state.options.placement.report_lifetime);
    return view;
}

service_view view_service(const entry_state& state, const call_row& call)
{
    service_view view;
    const auto& runtime = state.runtimes.at(call.ref.program);
    for (const auto& [name, peer] : state.peers)
    {
        const bool serves = peer.known.role == process_role::target &&
                            peer.known.service == call.request.service && state.targets.contains(name);
        if (!serves)
        {
            continue;
        }
        const auto index = view.targets.size();
        view.targets.push_back(view_of(state, peer, call));
        if (name == runtime.last_target)
        {
            view.last = index;
        }
        const auto place = std::ranges::find(runtime.prefixes, name, &prefix_place::target);
        if (place != runtime.prefixes.end())
        {
            view.cached.push_back({index, place->tokens});
        }
    }
    return view;
}

/// The history; the target process puts the call's own input behind it.
std::vector<std::string> prompt_of(const program_state& program, const call_request& request)
{
    std::vector<std::string> prompt;
    if (request.kind == call_kind::tool)
    {
        return prompt;
    }
    for (const auto& it : program.turns)
    {
        prompt.push_back(it.input);
        prompt.push_back(it.outcome.output);
    }
    return prompt;
}

token_count cached_at(const service_view& view, std::size_t target)
{
    const auto it = std::ranges::find(view.cached, target, &cached_prefix::target);
    return it != view.cached.end() ? it->tokens : 0;
}

/// Counts the call against its target until the target says what became of it.
void count_in(entry_state& state, const call_row& call)
{
    auto& target = state.targets[call.target];
    target.tracker.on_sent(call.ref, call.prefill, call.request.max_tokens, state.now);
    target.breaker.on_sent(state.now);
}

/// The time that a target would need for the call by itself.
core_duration cost_of(const entry_state& state, const call_row& call)
{
    const auto& speeds = state.options.placement;
    const auto prompt = static_cast<double>(prompt_tokens(state, call));
    const auto answer = static_cast<double>(call.request.max_tokens);
    const std::chrono::duration<double> cost{prompt / speeds.default_prefill_rate +
                                             answer / speeds.default_decode_rate};
    return std::chrono::duration_cast<core_duration>(cost);
}

void intend(entry_state& state, call_row& call)
{
    call.phase = call_phase::waiting_intent;
    const call_intended intent{call.ref.program, call.request, call.target, call.target_incarnation};
    state.programs.apply(intent);
    call.former_withdrawal = call.withdrawal;
    call.intent = append(state, call.ref.program, intent);
    when_durable(state, call.intent, intent_is_durable{call.ref, call.intent});
}

/// Targets at which an idempotent call may be lost before it is given up. A call that takes its targets down
/// must not reach all of a service; innocent ones hardly ever lose three.
constexpr std::uint32_t max_lost_attempts = 3;

problem no_target(const call_row& call)
{
    return {problem_id::no_target, ran_state::no,
            "no target of " + call.request.service.value + " takes work", retry_later};
}

std::chrono::milliseconds time_left(const entry_state& state, const call_row& call)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - state.now);
}

/// An attempt that may have run has to be paid for, besides the next one.
/// @return whether the next attempt can go on now
bool reserve_again(entry_state& state, call_row& call, const problem& failure)
{
    if (failure.ran == ran_state::no)
    {
        return true;
    }
    if (call.reserved)
    {
        state.ledgers.at(root_of(call.ref.program)).settle(*call.reserved, call.reserved->amount);
        call.reserved.reset();
    }
    // One that was taken over has no reservation: what its former home set aside counts as spent by the first
    // attempt.
    return reserve_budget(state, call);
}

problem refusal_problem(const call_refused& message)
{
    switch (message.reason)
    {
    case refusal_reason::overloaded:
        return {problem_id::overloaded, ran_state::no, "the targets have too much work",
                message.retry_after.value_or(retry_later)};
    case refusal_reason::stale_epoch:
        return {problem_id::lost_home, ran_state::no, "another process is this program's home now",
                retry_later};
    default:
        return {problem_id::target_refused, ran_state::no, "the target took no new work",
                message.retry_after.value_or(retry_later)};
    }
}

} // namespace

token_count prompt_tokens(const entry_state& state, const call_row& call)
{
    if (call.request.kind == call_kind::tool)
    {
        return 0;
    }
    return state.runtimes.at(call.ref.program).history_tokens + estimate_tokens(call.request.input);
}

void route_call(entry_state& state, call_row& call)
{
    const auto view = view_service(state, call);
    const auto tokens = prompt_tokens(state, call);
    const placement_query query{
        .program = call.ref.program,
        .prompt_tokens = tokens,
        // Answers are mostly shorter than they may be; half is what the policy was measured with.
        .expected_completion_tokens = call.request.max_tokens / 2,
        .cached = view.cached,
        .local_domain = state.options.failure_domain,
        .previous_target = view.last,
        .sequence = state.placements++};
    const auto choice = choose_target(query, view.targets, state.now, state.options.placement);
    if (!choice)
    {
        finish_without_turn(state, call.ref, no_target(call));
        return;
    }
    call.target = view.targets[choice->target].name;
    call.target_incarnation = state.peers.at(call.target).incarnation;
    call.prefill = tokens - std::min(tokens, cached_at(view, choice->target));
    if (call.request.idempotent)
    {
        send_dispatch(state, call);
        return;
    }
    intend(state, call);
}

void on_intent_durable(entry_state& state, const intent_is_durable& event)
{
    const auto it = state.calls.find(event.call);
    if (it == state.calls.end() || it->second.phase != call_phase::waiting_intent ||
        it->second.intent != event.ticket)
    {
        return;
    }
    auto& call = it->second;
    const auto& peer = state.peers.at(call.target);
    if (peer.live && peer.incarnation == call.target_incarnation)
    {
        send_dispatch(state, call);
        return;
    }
    // Never sent, so it did not run there.
    withdraw(state, call);
    call.tried.push_back(call.target);
    route_call(state, call);
}

void send_dispatch(entry_state& state, call_row& call)
{
    const auto& program = *state.programs.find(call.ref.program);
    auto& runtime = state.runtimes[call.ref.program];
    const auto index = shard_of(call.ref.program, state.options.shards);
    if (call.phase != call_phase::dispatched)
    {
        call.phase = call_phase::dispatched;
        count_in(state, call);
    }
    call.dispatched = state.now;
    call.next_sequence = 0;
    runtime.touched.insert(call.target);
    state.trace(event_id::call_dispatched, call.ref.program, call.ref.key, {{"target", call.target.value}});
    send_to(state, call.target,
            dispatch_call{.call = call.ref,
                          .shard = index,
                          .epoch = state.shards[index].epoch,
                          .request = call.request,
                          .workspace = call.workspace,
                          .priority = program.spec.priority,
                          .prompt = prompt_of(program, call.request),
                          .attained = runtime.attained,
                          .remaining = time_left(state, call),
                          .parent = program.spec.parent,
                          .turn_number = call.turn_number});
}

void leave_target(entry_state& state, call_row& call)
{
    if (call.phase != call_phase::dispatched)
    {
        return;
    }
    state.targets[call.target].tracker.on_ended(call.ref);
}

problem overload_refusal(const entry_state& state, const call_row& call)
{
    if (call.request.kind != call_kind::model)
    {
        return {};
    }
    service_backlog backlog;
    for (const auto& view : view_service(state, call).targets)
    {
        if (view.usable)
        {
            backlog.drain_time += expected_queue_delay(view, state.now, state.options.placement);
            ++backlog.usable_targets;
        }
    }
    backlog.drain_time /= std::max(backlog.usable_targets, 1U);
    const auto& program = *state.programs.find(call.ref.program);
    const admission_query query{.estimated_duration = cost_of(state, call),
                                .priority = program.spec.priority,
                                .first_turn = program.turns.empty(),
                                .time_to_deadline = call.deadline - state.now};
    const auto wait = overload_retry_after(query, backlog, state.options.overload);
    if (!wait)
    {
        return {};
    }
    return {problem_id::overloaded, ran_state::no, "the service's targets have too much work",
            std::chrono::ceil<std::chrono::milliseconds>(*wait)};
}

void retry_or_fail(entry_state& state, call_row& call, const problem& failure)
{
    leave_target(state, call);
    withdraw(state, call);
    call.tried.push_back(call.target);
    call.lost_attempts += failure.ran == ran_state::no ? 0 : 1;
    call.phase = call_phase::waiting_turn;
    const auto view = view_service(state, call);
    const bool another = std::ranges::any_of(view.targets, &target_view::usable);
    if (!another || call.lost_attempts >= max_lost_attempts || !state.retries.try_retry())
    {
        finish_without_turn(state, call.ref, failure);
        return;
    }
    ++state.counts.retries;
    state.trace(event_id::call_retried, call.ref.program, call.ref.key);
    if (reserve_again(state, call, failure))
    {
        route_call(state, call);
    }
}

call_row* call_at(entry_state& state, const call_ref& ref, const process_name& target)
{
    const auto it = state.calls.find(ref);
    if (it == state.calls.end() || it->second.target != target)
    {
        return nullptr;
    }
    const auto phase = it->second.phase;
    return phase == call_phase::dispatched || phase == call_phase::asking ? &it->second : nullptr;
}

void on_call_refused(entry_state& state, const process_name& target, const call_refused& message)
{
    auto* const call = call_at(state, message.call, target);
    if (call == nullptr)
    {
        return;
    }
    if (message.reason == refusal_reason::leaving)
    {
        state.peers.at(target).leaving = true;
    }
    if (message.reason == refusal_reason::stale_epoch)
    {
        const auto index = shard_of(message.call.program, state.options.shards);
        lose_shard(state, index, state.shards[index].epoch);
        return;
    }
    retry_or_fail(state, *call, refusal_problem(message));
}

void on_target_lost(entry_state& state, const process_name& target)
{
    state.trace(event_id::target_lost, {}, {}, {{"target", target.value}});
    if (const auto it = state.targets.find(target); it != state.targets.end())
    {
        it->second.report.reset();
    }
}

void on_target_back(entry_state& state, const process_name& target, bool same_incarnation)
{
    state.targets.try_emplace(target);
    state.trace(event_id::target_available, {}, {}, {{"target", target.value}});
    announce_epochs(state, target);
    std::vector<call_ref> there;
    for (const auto& [ref, call] : state.calls)
    {
        if (call.target == target &&
            (call.phase == call_phase::dispatched || call.phase == call_phase::asking))
        {
            there.push_back(ref);
        }
    }
    for (const auto& ref : there)
    {
        resume_at(state, state.calls.at(ref), same_incarnation);
    }
    if (!same_incarnation)
    {
        forget_target_memory(state, target);
    }
}

void resume_at(entry_state& state, call_row& call, bool same_incarnation)
{
    const bool same = same_incarnation && call.target_incarnation == state.peers.at(call.target).incarnation;
    if (call.phase == call_phase::asking)
    {
        if (call.target_incarnation == state.peers.at(call.target).incarnation)
        {
            const auto index = shard_of(call.ref.program, state.options.shards);
            send_to(state, call.target, ask_call{call.ref, index, state.shards[index].epoch});
            return;
        }
        outcome_is_unknown(state, call, "the target process that was sent the call is gone");
        return;
    }
    if (same)
    {
        // The same life of the target process accepts a call once: sent again, it only says how far it is.
        send_dispatch(state, call);
        return;
    }
    target_forgot(state, call);
}

void target_forgot(entry_state& state, call_row& call)
{
    state.targets[call.target].breaker.on_failure(state.now);
    if (!call.request.idempotent)
    {
        outcome_is_unknown(state, call, "the target process that was sent the call is gone");
        return;
    }
    retry_or_fail(
        state, call,
        {problem_id::target_failed, ran_state::unknown, "the target process went away", retry_later});
}

} // namespace masticcourse::detail

#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace masticcourse::detail
{

namespace
{

void refuse(target_state& s, link_id link, const call_ref& call, refusal_reason reason,
            std::optional<std::chrono::milliseconds> retry_after = {})
{
    s.counts.refused += 1;
    s.trace(event_id::call_refused, call, {{"reason", std::to_string(static_cast<int>(reason))}});
    s.send(link, call_refused{.call = call, .reason = reason, .retry_after = retry_after});
}

/// A refusal says that the call did not run, so a home that was replaced gets none for a call that may have.
void refuse_stale(target_state& s, link_id link, const call_ref& call)
{
    if (s.calls.contains(call) || s.settled.find(call) == settlement::ended)
    {
        s.send(link, call_answer{.call = call, .knowledge = call_knowledge::stale_epoch});
        return;
    }
    refuse(s, link, call, refusal_reason::stale_epoch);
}

std::size_t bytes_of(const dispatch_call& order)
{
    return std::accumulate(order.prompt.begin(), order.prompt.end(), order.request.input.size(),
                           [](std::size_t sum, const std::string& it) { return sum + it.size(); });
}

token_count prompt_tokens_of(const dispatch_call& order)
{
    if (order.request.kind == call_kind::tool)
    {
        return 0;
    }
    return std::accumulate(order.prompt.begin(), order.prompt.end(), estimate_tokens(order.request.input),
                           [](token_count sum, const std::string& it) { return sum + estimate_tokens(it); });
}

/// Whether accepting a call would make this process drop what it must keep.
bool has_room(const target_state& s, std::size_t bytes)
{
    const bool has_place = s.queue.size() < s.options.max_queue;
    const bool keeps_result = s.calls.size() < s.options.kept_result_limit && !s.settled.full(s.now);
    const bool has_bytes = s.calls.empty() || s.bytes + bytes <= s.options.kept_bytes_limit;
    return has_place && keeps_result && has_bytes;
}

/// Answers for a call that is over and forgotten but for its name.
void answer_settled(target_state& s, link_id link, const call_ref& call, settlement how)
{
    if (how == settlement::refused)
    {
        refuse(s, link, call, refusal_reason::duplicate);
        return;
    }
    call_finished message{.call = call};
    message.outcome = failed_outcome(problem_id::outcome_unknown, ran_state::unknown,
                                     "it ran before; its result was handed over");
    s.send(link, std::move(message));
}

waiting_call waiting_call_of(const target_state& s, const target_call& call)
{
    const dispatch_call& order = call.order;
    const auto program = s.programs.find(order.call.program);
    const token_count prompt = prompt_tokens_of(order);
    const token_count held = program == s.programs.end() ? 0 : program->second.held;
    return {.call = order.call,
            .workspace = order.workspace,
            .priority = order.priority,
            .attained = order.attained,
            .prompt_tokens = prompt,
            .expected_cached = std::min(prompt, held),
            .max_tokens = order.request.max_tokens,
            .arrived = call.arrived,
            .deadline = call.deadline,
            .first_turn = order.turn_number <= 1,
            .parent = order.parent};
}

/// Whether a call that its home sends again is one that could not be run, and that may be tried again.
bool may_try_again(const target_call& call)
{
    const problem& error = call.outcome.error;
    const bool did_not_run = error.failed() && error.ran == ran_state::no;
    return call.stage == call_stage::finished && call.order.request.idempotent && did_not_run;
}

void accept(target_state& s, dispatch_call order)
{
    const call_ref ref = order.call;
    touch_program(s, ref.program, order.shard);
    target_call call{.order = std::move(order), .arrived = s.now};
    call.ran_before = s.settled.find(ref) == settlement::ended;
    call.bytes = bytes_of(call.order);
    if (call.order.remaining)
    {
        call.deadline = s.now + *call.order.remaining;
        s.deadlines.emplace(*call.deadline, ref);
    }
    const bool fresh = s.queue.push(waiting_call_of(s, call));
    MASTICCOURSE_INVARIANT(fresh, "a call waits that was not accepted");
    s.bytes += call.bytes;
    s.calls.emplace(ref, std::move(call));
    s.counts.accepted += 1;
    s.trace(event_id::call_queued, ref);
}

/// A result that was computed from another history than the home's is of no use: turns before it were lost
/// with the processes that had them, and the call runs again from what is left.
void forget_other_turn(target_state& s, const dispatch_call& message)
{
    const auto it = s.calls.find(message.call);
    if (it == s.calls.end() || !message.request.idempotent || it->second.stage != call_stage::finished)
    {
        return;
    }
    if (it->second.order.turn_number != message.turn_number)
    {
        settle(s, message.call, settlement::ended);
    }
}

/// Answers for a call that is known here and is not to run now.
/// @return whether it was one
bool answer_known(target_state& s, link_id link, const dispatch_call& message)
{
    const call_ref& ref = message.call;
    const auto it = s.calls.find(ref);
    if (it != s.calls.end() && !may_try_again(it->second))
    {
        send_again(s, link, it->second);
        return true;
    }
    const auto how = s.settled.find(ref);
    // An idempotent call whose home no longer has its result may run again.
    const bool runs_again = message.request.idempotent && how == settlement::ended;
    if (how && !runs_again)
    {
        answer_settled(s, link, ref, *how);
        return true;
    }
    if (s.ending.contains(ref))
    {
        // Its last run has not ended at the target; two at once could cross.
        refuse(s, link, ref, refusal_reason::overloaded, time_to_come_back(s));
        return true;
    }
    return false;
}

kept_result kept_result_of(const target_call& call)
{
    return {.call = call.order.call,
            .turn_number = call.order.turn_number,
            .request = call.order.request,
            .outcome = call.outcome};
}

} // namespace

bool pass_fence(target_state& s, shard_index shard, epoch_number epoch, link_id link)
{
    shard_fence& fence = s.shards[shard];
    if (epoch < fence.epoch)
    {
        s.trace(event_id::stale_order_refused, {},
                {{"shard", std::to_string(shard)}, {"epoch", std::to_string(epoch)}});
        return false;
    }
    if (epoch > fence.epoch)
    {
        s.trace(event_id::target_fence_raised, {},
                {{"shard", std::to_string(shard)}, {"epoch", std::to_string(epoch)}});
    }
    const auto& hello = s.links.at(link).hello;
    fence = {.epoch = epoch, .home = hello ? hello->incarnation : incarnation_id{}, .link = link};
    return true;
}

void take_dispatch(target_state& s, link_id link, dispatch_call message)
{
    const call_ref ref = message.call;
    if (!pass_fence(s, message.shard, message.epoch, link))
    {
        refuse_stale(s, link, ref);
        return;
    }
    forget_other_turn(s, message);
    if (answer_known(s, link, message))
    {
        return;
    }
    if (message.request.service != s.options.service)
    {
        refuse(s, link, ref, refusal_reason::unknown_service);
        return;
    }
    if (s.leaving)
    {
        refuse(s, link, ref, refusal_reason::leaving);
        return;
    }
    if (!has_room(s, bytes_of(message)))
    {
        refuse(s, link, ref, refusal_reason::overloaded, time_to_come_back(s));
        return;
    }
    if (s.calls.contains(ref))
    {
        drop_result(s, ref);
    }
    accept(s, std::move(message));
}

void take_ask(target_state& s, link_id link, const ask_call& message)
{
    call_answer answer{.call = message.call};
    const auto it = s.calls.find(message.call);
    const auto how = s.settled.find(message.call);
    if (!pass_fence(s, message.shard, message.epoch, link))
    {
        answer.knowledge = call_knowledge::stale_epoch;
    }
    else if (it != s.calls.end())
    {
        const bool over = it->second.stage == call_stage::finished;
        answer.knowledge = over ? call_knowledge::finished : call_knowledge::in_progress;
        answer.outcome = it->second.outcome;
    }
    else if (how == settlement::ended)
    {
        answer.knowledge = call_knowledge::finished;
        answer.outcome = failed_outcome(problem_id::outcome_unknown, ran_state::unknown,
                                        "it ran; its result was handed over or given up");
    }
    else
    {
        // From here on "not run" is true, so it must stay true.
        s.settled.settle(message.call, settlement::refused, s.now);
    }
    s.send(link, answer);
    if (answer.knowledge == call_knowledge::in_progress)
    {
        send_again(s, link, it->second);
    }
}

void take_collect(target_state& s, link_id link, const collect_shard& message)
{
    kept_results answer{.shard = message.shard, .epoch = message.epoch};
    if (!pass_fence(s, message.shard, message.epoch, link))
    {
        answer.epoch = s.shards.at(message.shard).epoch;
        s.send(link, std::move(answer));
        return;
    }
    std::vector<const target_call*> in_progress;
    for (const auto& [ref, call] : s.calls)
    {
        if (call.order.shard != message.shard)
        {
            continue;
        }
        if (call.stage == call_stage::finished)
        {
            answer.results.push_back(kept_result_of(call));
            continue;
        }
        answer.in_progress.push_back(kept_result_of(call));
        in_progress.push_back(&call);
    }
    s.send(link, std::move(answer));
    for (const auto* call : in_progress)
    {
        send_again(s, link, *call);
    }
}

} // namespace masticcourse::detail

#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

void start(target_state& s, const waiting_call& waiting)
{
    const auto it = s.calls.find(waiting.call);
    MASTICCOURSE_INVARIANT(it != s.calls.end(), "a call starts that was not accepted");
    target_call& call = it->second;
    const auto how = s.settled.find(waiting.call);
    const bool runs_again = call.order.request.idempotent && how == settlement::ended;
    const bool may_run = !how || runs_again;
    MASTICCOURSE_INVARIANT(may_run, "a call starts that was refused, or has ended and may not run again");
    MASTICCOURSE_INVARIANT(call.stage == call_stage::queued, "a call starts a second time");
    call.stage = call_stage::running;
    call.started = s.now;
    s.admission.on_started(waiting);
    s.counts.started += 1;
    s.trace(event_id::call_started, waiting.call);

    const std::size_t before = call.bytes;
    call.bytes = call.order.request.input.size();
    s.bytes -= before - call.bytes;
    std::vector<std::string> prompt = std::exchange(call.order.prompt, {});
    prompt.push_back(call.order.request.input);
    s.out.emplace_back(engine_start{.call = waiting.call,
                                    .request = call.order.request,
                                    .prompt = std::move(prompt),
                                    .order = call.order.epoch});
}

/// Tells the backend to end a call, and gives it time to say what came of it.
void begin_cancel(target_state& s, const call_ref& ref)
{
    s.out.emplace_back(engine_cancel{.call = ref});
    s.ending.emplace(ref, s.now + s.options.cancel_grace);
}

call_outcome cancelled_outcome(const target_call& call)
{
    return failed_outcome(problem_id::cancelled, ran_when_cut(call), "cancelled");
}

} // namespace

void start_calls(target_state& s)
{
    while (const waiting_call* next = s.queue.peek(s.now))
    {
        if (!s.admission.admits(*next))
        {
            return;
        }
        start(s, *s.queue.pop(s.now));
        MASTICCOURSE_INVARIANT(s.admission.running_count() <= s.options.max_running,
                               "more calls at the target than it takes");
    }
}

void expire_deadlines(target_state& s)
{
    while (!s.deadlines.empty() && s.deadlines.begin()->first <= s.now)
    {
        const call_ref ref = s.deadlines.begin()->second;
        const target_call& call = s.calls.at(ref);
        call_outcome outcome =
            failed_outcome(problem_id::deadline_passed, ran_when_cut(call), "the call's deadline has passed");
        s.trace(event_id::call_deadline_passed, ref);
        if (call.stage == call_stage::queued)
        {
            finish(s, ref, std::move(outcome));
        }
        else
        {
            begin_cancel(s, ref);
            finish(s, ref, std::move(outcome));
        }
    }
}

void expire_cancels(target_state& s)
{
    std::vector<call_ref> late;
    for (const auto& [ref, until] : s.ending)
    {
        if (until <= s.now)
        {
            late.push_back(ref);
        }
    }
    for (const auto& ref : late)
    {
        // Its place is given away; its name stays until the backend has let go, lest two runs cross.
        s.ending[ref] = core_time::max();
        s.admission.on_finished(ref);
        const auto it = s.calls.find(ref);
        if (it != s.calls.end() && it->second.stage == call_stage::running)
        {
            finish(s, ref, cancelled_outcome(it->second));
        }
    }
}

void take_tokens(target_state& s, const engine_tokens& input)
{
    const auto it = s.calls.find(input.call);
    if (it == s.calls.end() || it->second.stage != call_stage::running)
    {
        return;
    }
    target_call& call = it->second;
    MASTICCOURSE_INVARIANT(input.sequence <= call.tokens.size(), "a stream has a gap");
    if (input.sequence != call.tokens.size())
    {
        return;
    }
    if (call.tokens.empty())
    {
        call.first_token = s.now;
        s.admission.on_prefilled(input.call);
    }
    call.tokens.push_back(input.text);
    call.bytes += input.text.size();
    s.bytes += input.text.size();
    s.send(s.home_of(call), call_tokens{.call = input.call, .sequence = input.sequence, .text = input.text});
}

void take_finished(target_state& s, const engine_finished& input)
{
    s.admission.on_finished(input.call);
    s.ending.erase(input.call);
    const auto it = s.calls.find(input.call);
    if (it != s.calls.end() && it->second.stage == call_stage::running)
    {
        target_call& call = it->second;
        const bool cut = call.cancelling && input.outcome.error.failed();
        if (!input.outcome.error.failed())
        {
            // A cancel that crosses a result: the result stands, and is charged.
            const token_usage& usage = input.outcome.usage;
            set_held(s, input.call.program, usage.prompt + usage.completion);
        }
        finish(s, input.call, cut ? cancelled_outcome(call) : input.outcome);
    }
    if (!s.programs.contains(input.call.program) && s.options.kind == call_kind::model)
    {
        // The program went while the engine still used its memory.
        s.out.emplace_back(engine_free{.program = input.call.program});
    }
}

void take_cancel(target_state& s, link_id link, const cancel_call& message)
{
    const auto it = s.calls.find(message.call);
    if (it != s.calls.end() && s.home_of(it->second) == link)
    {
        cancel(s, message.call);
    }
}

void cancel(target_state& s, const call_ref& ref)
{
    target_call& call = s.calls.at(ref);
    const bool unstoppable = call.stage == call_stage::running && !call.order.request.idempotent;
    if (call.stage == call_stage::finished || call.cancelling || unstoppable)
    {
        return;
    }
    s.counts.cancelled += 1;
    s.trace(event_id::call_cancelled, ref);
    if (call.stage == call_stage::queued)
    {
        finish(s, ref, cancelled_outcome(call));
        return;
    }
    call.cancelling = true;
    begin_cancel(s, ref);
}

} // namespace masticcourse::detail

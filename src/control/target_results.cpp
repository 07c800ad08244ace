#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::detail
{

namespace
{

constexpr core_duration result_check_period = std::chrono::seconds{1};

call_finished finished_message(const target_call& call)
{
    const core_time started = call.started.value_or(call.ended);
    return {.call = call.order.call,
            .outcome = call.outcome,
            .queued = started - call.arrived,
            .ran = call.ended - started};
}

void stop_deadline(target_state& s, const target_call& call)
{
    if (call.deadline)
    {
        s.deadlines.erase({*call.deadline, call.order.call});
    }
}

} // namespace

void finish(target_state& s, const call_ref& ref, call_outcome outcome)
{
    target_call& call = s.calls.at(ref);
    MASTICCOURSE_INVARIANT(call.stage != call_stage::finished, "a call ends a second time");
    if (call.stage == call_stage::queued)
    {
        s.queue.remove(ref);
    }
    stop_deadline(s, call);
    call.ended = s.now;
    call.outcome = std::move(outcome);
    measure(s, call);
    call.stage = call_stage::finished;
    call.tokens.clear();
    call.order.prompt.clear();

    const std::size_t before = call.bytes;
    call.bytes = call.order.request.input.size() + call.outcome.output.size();
    s.bytes = s.bytes - before + call.bytes;
    s.counts.finished += 1;
    s.counts.kept += 1;
    s.trace(event_id::call_ended, ref, {{"ok", call.outcome.error.failed() ? "false" : "true"}});
    s.send(s.home_of(call), finished_message(call));
    if (s.released.contains(ref.program))
    {
        settle(s, ref, settlement::ended);
    }
}

void send_again(target_state& s, link_id link, const target_call& call)
{
    if (call.stage == call_stage::finished)
    {
        s.send(link, finished_message(call));
        return;
    }
    std::uint64_t sequence = 0;
    for (const auto& text : call.tokens)
    {
        s.send(link, call_tokens{.call = call.order.call, .sequence = sequence++, .text = text});
    }
}

void take_durable(target_state& s, link_id link, const outcome_durable& message)
{
    const auto it = s.calls.find(message.call);
    if (it == s.calls.end() || it->second.stage != call_stage::finished || s.home_of(it->second) != link)
    {
        return;
    }
    settle(s, message.call, settlement::ended);
}

void settle(target_state& s, const call_ref& ref, settlement how)
{
    const auto it = s.calls.find(ref);
    MASTICCOURSE_INVARIANT(it->second.stage != call_stage::running, "a running call is forgotten");
    if (it->second.stage == call_stage::queued)
    {
        s.queue.remove(ref);
        stop_deadline(s, it->second);
    }
    s.settled.settle(ref, how, s.now);
    drop_result(s, ref);
}

void drop_result(target_state& s, const call_ref& ref)
{
    const auto it = s.calls.find(ref);
    s.counts.kept -= it->second.stage == call_stage::finished ? 1 : 0;
    s.bytes -= it->second.bytes;
    s.calls.erase(it);
}

void expire_results(target_state& s)
{
    if (s.now < s.next_result_check)
    {
        return;
    }
    s.next_result_check = s.now + result_check_period;
    std::vector<call_ref> old;
    for (const auto& [ref, call] : s.calls)
    {
        if (call.stage == call_stage::finished && call.ended + s.options.kept_result_time <= s.now)
        {
            old.push_back(ref);
        }
    }
    std::ranges::for_each(old, [&s](const call_ref& ref) { settle(s, ref, settlement::ended); });
}

} // namespace masticcourse::detail

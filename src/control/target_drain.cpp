#include "target_systems.hpp"

#include <algorithm>

namespace masticcourse::detail
{

void leave(target_state& s)
{
    if (s.leaving)
    {
        return;
    }
    s.leaving = true;
    s.trace(event_id::process_draining);
    std::vector<call_ref> waiting;
    for (const auto& [ref, call] : s.calls)
    {
        if (call.stage == call_stage::queued)
        {
            waiting.push_back(ref);
        }
    }
    for (const auto& ref : waiting)
    {
        // They have not run, so their homes can place them elsewhere at once.
        const link_id home = s.home_of(s.calls.at(ref));
        settle(s, ref, settlement::refused);
        s.counts.refused += 1;
        s.send(home, call_refused{.call = ref, .reason = refusal_reason::leaving});
    }
    std::ranges::for_each(s.links, [&s](auto& it) { it.second.next_heartbeat = s.now; });
}

void take_stop(target_state& s)
{
    leave(s);
    if (!s.drain_until)
    {
        s.drain_until = s.now + s.options.drain_timeout;
    }
}

void finish_drain(target_state& s)
{
    if (!s.drain_until || s.stopped)
    {
        return;
    }
    const bool idle = s.calls.empty() && s.admission.running_count() == 0;
    const bool late = s.now >= *s.drain_until;
    if (!idle && !late)
    {
        return;
    }
    if (!idle)
    {
        s.trace(event_id::drain_timed_out, {}, {{"calls", std::to_string(s.calls.size())}});
    }
    s.stopped = true;
    s.out.emplace_back(ready_to_stop{});
}

} // namespace masticcourse::detail

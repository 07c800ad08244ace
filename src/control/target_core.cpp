#include "masticcourse/control/target_core.hpp"

#include "masticcourse/core/invariant.hpp"
#include "target_systems.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

namespace
{

using detail::target_state;

/// Takes a message of another process; the kinds that are not for a target process are ignored.
struct message_visitor
{
    target_state& s;
    link_id link;

    void operator()(peer_hello& message) const
    {
        take_hello(s, link, message);
    }

    void operator()(peer_heartbeat& message) const
    {
        take_heartbeat(s, link, message);
    }

    void operator()(config_request& message) const
    {
        take_config_request(s, link, message);
    }

    void operator()(config_reply& message) const
    {
        take_config(s, std::move(message));
    }

    void operator()(dispatch_call& message) const
    {
        take_dispatch(s, link, std::move(message));
    }

    void operator()(cancel_call& message) const
    {
        take_cancel(s, link, message);
    }

    void operator()(ask_call& message) const
    {
        take_ask(s, link, message);
    }

    void operator()(collect_shard& message) const
    {
        take_collect(s, link, message);
    }

    void operator()(outcome_durable& message) const
    {
        take_durable(s, link, message);
    }

    void operator()(renew_programs& message) const
    {
        take_renewal(s, link, message);
    }

    void operator()(release_program& message) const
    {
        take_release(s, link, message);
    }

    void operator()(liveness_ask& message) const
    {
        take_liveness(s, link, message);
    }

    void operator()(relay_store& message) const
    {
        take_relay(s, link, std::move(message));
    }

    template <typename Other>
    void operator()(Other& /*unused*/) const
    {
    }
};

/// Takes one input of the process.
struct input_visitor
{
    target_state& s;

    void operator()(const peer_opened& input) const
    {
        take_opened(s, input.link);
    }

    void operator()(const peer_closed& input) const
    {
        take_closed(s, input.link);
    }

    void operator()(const peer_received& input) const
    {
        const auto it = s.links.find(input.link);
        if (it == s.links.end())
        {
            // The link was given up; its peer asks again on a new one.
            return;
        }
        it->second.last_heard = s.now;
        peer_message message = input.message;
        std::visit(message_visitor{.s = s, .link = input.link}, message);
    }

    void operator()(const store_done& input) const
    {
        take_store_done(s, input);
    }

    void operator()(const engine_tokens& input) const
    {
        take_tokens(s, input);
    }

    void operator()(const engine_finished& input) const
    {
        take_finished(s, input);
    }

    void operator()(const engine_listing& input) const
    {
        take_listing(s, input);
    }

    void operator()(const engine_memory& input) const
    {
        s.memory = input;
    }

    void operator()(const marked_leaving& /*unused*/) const
    {
        leave(s);
    }

    void operator()(const stop_requested& /*unused*/) const
    {
        take_stop(s);
    }
};

void advance_clock(target_state& s, core_time now)
{
    MASTICCOURSE_INVARIANT(now >= s.now, "the clock went back");
    if (s.started_at)
    {
        allow_for_pause(s, now - s.now);
    }
    else
    {
        s.started_at = now;
    }
    s.now = now;
}

void run_systems(target_state& s)
{
    close_silent_links(s);
    expire_leases(s);
    expire_cancels(s);
    expire_deadlines(s);
    expire_results(s);
    start_calls(s);
    finish_drain(s);
    send_reports(s);
    send_heartbeats(s);
}

} // namespace

target_core::target_core(target_options options) : m_state(std::make_unique<target_state>(std::move(options)))
{
}

target_core::~target_core() = default;
target_core::target_core(target_core&&) noexcept = default;
target_core& target_core::operator=(target_core&&) noexcept = default;

std::vector<target_output> target_core::step(std::span<const target_input> inputs, core_time now)
{
    target_state& s = *m_state;
    advance_clock(s, now);
    for (const auto& input : inputs)
    {
        std::visit(input_visitor{s}, input);
    }
    run_systems(s);
    return std::exchange(s.out, {});
}

core_time target_core::next_wakeup() const
{
    const target_state& s = *m_state;
    core_time next = s.now + s.options.heartbeat_period;
    for (const auto& [id, link] : s.links)
    {
        next = std::min({next, link.next_heartbeat, link.last_heard + s.options.peer_timeout});
    }
    if (!s.deadlines.empty())
    {
        next = std::min(next, s.deadlines.begin()->first);
    }
    if (!s.links.empty())
    {
        next = std::min(next, s.last_report + s.options.idle_report_period);
    }
    return std::max(next, s.now + core_duration{1});
}

target_counts target_core::counts() const
{
    const target_state& s = *m_state;
    target_counts counts = s.counts;
    counts.queued = s.queue.size();
    counts.running = s.admission.running_count();
    counts.kept_bytes = s.bytes;
    counts.programs = s.programs.size();
    counts.links = s.links.size();
    counts.leaving = s.leaving;
    return counts;
}

target_load target_core::load() const
{
    return present_load(*m_state);
}

config_reply target_core::config() const
{
    return m_state->config;
}

} // namespace masticcourse

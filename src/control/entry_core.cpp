#include "masticcourse/control/entry_core.hpp"

#include "entry_systems.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticcourse
{

namespace detail
{

entry_state::entry_state(entry_options given)
    : options(std::move(given)), random(options.seed), shards(options.shards),
      config(config_tracker_options{}, options.seed),
      view(parse_config(options.initial_config).value_or(config_view{}))
{
    begin_life();
}

void entry_state::begin_life()
{
    recovery = std::make_unique<recovered_journals>(options.incarnation, retry_options{});
    journal = std::make_unique<journal_writer>(
        options.incarnation,
        journal_options{.min_gap = options.journal_gap, .max_entry_bytes = options.max_entry_bytes});
}

namespace
{

constexpr auto scan_period = std::chrono::milliseconds{10};

/// A step that comes this much later than the one before means that the process slept, so that its shards may
/// have been taken.
bool slept(const entry_state& state)
{
    return state.last_step && state.now - *state.last_step > state.options.peer_timeout;
}

/// Nothing is served until a record written from now on is durable: then no successor had sealed the journal.
void confirm_ownership(entry_state& state)
{
    if (std::ranges::none_of(state.shards, &shard_state::owned))
    {
        return;
    }
    const auto ticket = state.journal->append({.shard = no_shard, .payload = ownership_probe{}}, state.now);
    state.confirm = ticket;
    state.last_confirm = state.now;
    when_durable(state, ticket, probe_is_durable{ticket});
}

/// Whether no other entry answers: each may have taken this one for dead by now.
bool is_alone(const entry_state& state)
{
    const auto is_entry = [](const auto& it)
    { return it.second.listed && it.second.known.role == process_role::entry; };
    const auto answers = [&](const auto& it) { return is_entry(it) && it.second.live; };
    return std::ranges::any_of(state.peers, is_entry) && std::ranges::none_of(state.peers, answers);
}

void doubt_ownership(entry_state& state)
{
    if (slept(state))
    {
        const auto silent =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.now - *state.last_step);
        state.trace(event_id::process_paused, {}, {}, {{"ms", std::to_string(silent.count())}});
        confirm_ownership(state);
    }
    else if (is_alone(state) && !state.confirm &&
             state.now - state.last_confirm > state.options.peer_timeout / 2)
    {
        confirm_ownership(state);
    }
}

/// Hands each input to its system.
struct input_visitor
{
    entry_state& state;

    void operator()(const caller_request& it) const
    {
        handle_request(state, local_caller{it.id}, it.raw);
    }

    void operator()(const caller_gone& it) const
    {
        forget_caller(state, it.id);
    }

    void operator()(const store_done& it) const
    {
        on_store_done(state, it);
    }

    void operator()(const peer_opened& it) const
    {
        on_link_opened(state, it.link);
    }

    void operator()(const peer_closed& it) const
    {
        on_link_closed(state, it.link);
    }

    void operator()(const peer_received& it) const
    {
        on_peer_message(state, it.link, it.message);
    }

    void operator()(const processes_listed& it) const
    {
        learn_processes(state, it.processes);
    }

    void operator()(const stop_requested& /*it*/) const
    {
        if (!state.stopping)
        {
            state.trace(event_id::process_draining);
        }
        state.stopping = true;
    }
};

/// The systems that walk whole tables. Heartbeats of a thousand peers must not make them run each time: they
/// have a period of their own, but for answers of the store, which claims and recoveries wait for.
void run_scans(entry_state& state)
{
    run_membership(state);
    run_store(state);
    run_shards(state);
    run_config(state);
    run_calls(state);
    run_forwards(state);
    run_leases(state);
    run_readiness(state);
    run_stop(state);
}

bool is_urgent(const entry_input& input)
{
    return std::holds_alternative<store_done>(input) || std::holds_alternative<stop_requested>(input);
}

void run_systems(entry_state& state, std::span<const entry_input> inputs)
{
    run_journal(state);
    state.inputs_since_scan = state.inputs_since_scan || !inputs.empty();
    if (state.now < state.next_scan && std::ranges::none_of(inputs, is_urgent))
    {
        return;
    }
    state.next_scan = state.now + scan_period;
    state.inputs_since_scan = false;
    run_scans(state);
    run_journal(state);
}

} // namespace

} // namespace detail

entry_core::entry_core(entry_options options)
    : m_state(std::make_unique<detail::entry_state>(std::move(options)))
{
    detail::learn_processes(*m_state, m_state->options.processes);
}

entry_core::~entry_core() = default;
entry_core::entry_core(entry_core&&) noexcept = default;
entry_core& entry_core::operator=(entry_core&&) noexcept = default;

std::vector<entry_output> entry_core::step(std::span<const entry_input> inputs, core_time now)
{
    auto& state = *m_state;
    state.now = now;
    detail::doubt_ownership(state);
    state.last_step = now;
    for (const auto& input : inputs)
    {
        std::visit(detail::input_visitor{state}, input);
    }
    detail::run_systems(state, inputs);
    return std::exchange(state.out, {});
}

core_time entry_core::next_wakeup() const
{
    // Without inputs the systems keep to periods of tens of milliseconds; only the journal's group commit is
    // finer.
    constexpr auto idle_period = std::chrono::milliseconds{50};
    const auto scan = m_state->inputs_since_scan ? m_state->next_scan : m_state->now + idle_period;
    return std::min(scan, m_state->journal->next_wakeup());
}

entry_counts entry_core::counts() const
{
    return detail::counts_of(*m_state);
}

} // namespace masticcourse

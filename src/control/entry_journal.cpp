// The journal: records go in, and what waits for them goes on once they are durable.
#include "entry_systems.hpp"

#include <algorithm>

namespace masticcourse::detail
{

namespace
{

/// Runs what waited for a ticket.
struct durable_visitor
{
    entry_state& state;

    void operator()(const creation_durable& it) const
    {
        on_creation_durable(state, it);
    }

    void operator()(const escrow_is_durable& it) const
    {
        on_escrow_durable(state, it);
    }

    void operator()(const intent_is_durable& it) const
    {
        on_intent_durable(state, it);
    }

    void operator()(const turn_is_durable& it) const
    {
        on_turn_durable(state, it.call);
    }

    void operator()(const end_is_durable& it) const
    {
        on_end_durable(state, it);
    }

    void operator()(const probe_is_durable& it) const
    {
        if (state.confirm == it.ticket)
        {
            state.confirm.reset();
        }
    }

    void operator()(const snapshots_are_durable& it) const
    {
        auto& shard = state.shards[it.shard];
        if (!shard.owned || shard.checkpoint_from != it.from_index)
        {
            return;
        }
        if (shard.releasing)
        {
            finish_hand_over(state, it.shard);
        }
        else
        {
            shard.update = std::make_unique<shard_update>(
                shard_checkpoint(shard.row, shard.version, *shard.checkpoint_from, {}));
        }
    }
};

constexpr auto longest_wait = std::chrono::seconds{5};

void release_durable(entry_state& state)
{
    while (!state.awaiting.empty() && state.awaiting.front().ticket <= state.journal->durable())
    {
        const auto row = std::move(state.awaiting.front());
        state.awaiting.pop_front();
        if (!row.told)
        {
            std::visit(durable_visitor{state}, row.event);
        }
    }
}

/// A caller whose program can't be made durable, or ended, for long is told so; the same request asks again.
void give_up_waiting(entry_state& state)
{
    const problem late{problem_id::store_unavailable, ran_state::unknown,
                       "the store has not answered yet; the same request asks again",
                       std::chrono::seconds{2}};
    for (auto& row : state.awaiting)
    {
        const auto* const route = waiting_route(row.event);
        if (!row.told && route != nullptr && state.now - row.appended > longest_wait)
        {
            row.told = true;
            reply_problem(state, *route, late);
        }
    }
}

void clean_journal(entry_state& state)
{
    if (!state.cleaner)
    {
        return;
    }
    if (auto operation = state.cleaner->poll(state.now))
    {
        run_on_store(state, std::move(*operation), cleaner_purpose{});
    }
    if (state.cleaner->done())
    {
        state.cleaner.reset();
    }
}

} // namespace

const reply_route* waiting_route(const durable_event& event)
{
    if (const auto* const created = std::get_if<creation_durable>(&event))
    {
        return &created->route;
    }
    const auto* const ended = std::get_if<end_is_durable>(&event);
    return ended != nullptr ? &ended->route : nullptr;
}

journal_ticket append(entry_state& state, const program_id& program, journal_payload payload)
{
    const auto index = shard_of(program, state.options.shards);
    auto& shard = state.shards[index];
    ++shard.records_since_checkpoint;
    return state.journal->append({.shard = index, .epoch = shard.epoch, .payload = std::move(payload)},
                                 state.now);
}

void when_durable(entry_state& state, journal_ticket ticket, durable_event event)
{
    state.awaiting.push_back({.ticket = ticket, .appended = state.now, .event = std::move(event)});
}

bool journal_is_stalled(const entry_state& state)
{
    return state.journal->stalled_for(state.now) > state.options.durability_wait;
}

void run_journal(entry_state& state)
{
    if (state.journal->sealed())
    {
        start_over(state);
        return;
    }
    release_durable(state);
    give_up_waiting(state);
    if (auto operation = state.journal->poll(state.now))
    {
        run_on_store(state, std::move(*operation), journal_purpose{});
    }
    clean_journal(state);
}

} // namespace masticcourse::detail

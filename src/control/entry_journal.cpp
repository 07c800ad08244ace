// The journal: records go in, and what waits for them goes on once they are durable.
#include "entry_state.hpp"

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
        on_intent_durable(state, it.call);
    }

    void operator()(const turn_is_durable& it) const
    {
        on_turn_durable(state, it.call);
    }

    void operator()(const end_is_durable& it) const
    {
        on_end_durable(state, it);
    }

    void operator()(const probe_is_durable& /*it*/) const
    {
        state.confirm.reset();
    }

    void operator()(const snapshots_are_durable& it) const
    {
        auto& shard = state.shards[it.shard];
        if (shard.owned && shard.checkpoint_from == it.from_index)
        {
            shard.update = std::make_unique<shard_update>(
                shard_checkpoint(shard.row, shard.version, *shard.checkpoint_from, {}));
        }
    }
};

void release_durable(entry_state& state)
{
    while (!state.awaiting.empty() && state.awaiting.front().ticket <= state.journal->durable())
    {
        const auto row = std::move(state.awaiting.front());
        state.awaiting.pop_front();
        std::visit(durable_visitor{state}, row.event);
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
    if (auto operation = state.journal->poll(state.now))
    {
        run_on_store(state, std::move(*operation), journal_purpose{});
    }
    clean_journal(state);
}

} // namespace masticcourse::detail

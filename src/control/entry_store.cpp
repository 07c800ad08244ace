// Operations on the platform's store: sent directly, or through a peer when only this process can't reach it.
#include "entry_systems.hpp"

#include <algorithm>

namespace masticcourse::detail
{

namespace
{

constexpr auto retry_soon = std::chrono::milliseconds{500};
constexpr auto retry_later = std::chrono::seconds{2};

/// A live entry that reaches the store, if this one does not.
const peer_row* relay_for(const entry_state& state)
{
    if (!state.store_away_since)
    {
        return nullptr;
    }
    const auto reaches = [](const auto& it)
    { return it.second.live && it.second.store_reachable && it.second.known.role == process_role::entry; };
    const auto it = std::ranges::find_if(state.peers, reaches);
    return it != state.peers.end() ? &it->second : nullptr;
}

void note_reachability(entry_state& state, store_status status)
{
    const bool away = status == store_status::unavailable || status == store_status::outcome_unknown;
    if (away && !state.store_away_since)
    {
        state.store_away_since = state.now;
        state.trace(event_id::store_away);
    }
    if (!away && state.store_away_since)
    {
        state.store_away_since.reset();
        state.trace(event_id::store_back);
    }
}

/// Hands a reply to the state machine that asked.
struct purpose_visitor
{
    entry_state& state;
    const store_reply& answer;

    void operator()(const journal_purpose& /*it*/) const
    {
        state.journal->on_reply(answer, state.now);
    }

    void operator()(const recovery_purpose& /*it*/) const
    {
        state.recovery->on_reply(answer, state.now);
    }

    void operator()(const claim_purpose& it) const
    {
        on_claim_reply(state, it.shard, answer);
    }

    void operator()(const update_purpose& it) const
    {
        on_update_reply(state, it.shard, answer);
    }

    void operator()(const shard_list_purpose& /*it*/) const
    {
        on_shard_list(state, answer);
    }

    void operator()(const config_purpose& /*it*/) const
    {
        state.config.on_reply(answer, state.now);
    }

    void operator()(const patch_purpose& it) const
    {
        on_patch_reply(state, it.patch, answer);
    }

    void operator()(const cleaner_purpose& /*it*/) const
    {
        if (state.cleaner)
        {
            state.cleaner->on_reply(answer, state.now);
        }
    }

    void operator()(const relayed_purpose& it) const
    {
        if (state.links.contains(it.link))
        {
            send(state, it.link, relay_reply{it.id, answer});
        }
    }
};

void finish(entry_state& state, store_op_id id, const store_reply& answer)
{
    const auto it = state.store_ops.find(id);
    if (it == state.store_ops.end())
    {
        return;
    }
    const auto purpose = it->second;
    state.store_ops.erase(it);
    std::visit(purpose_visitor{state, answer}, purpose);
}

} // namespace

void run_on_store(entry_state& state, store_op operation, const store_purpose& purpose)
{
    const auto id = state.next_store_op++;
    const bool relayed = std::holds_alternative<relayed_purpose>(purpose);
    state.store_ops.emplace(id, purpose);
    // Every other operation goes directly all the same: that is how this process learns that it reaches the
    // store again.
    const auto* const peer = relayed || id % 2 == 0 ? nullptr : relay_for(state);
    if (peer == nullptr)
    {
        state.emit(run_store_op{id, std::move(operation)});
        return;
    }
    state.trace(event_id::store_relayed, {}, {}, {{"peer", peer->known.name.value}});
    state.relayed.emplace(id, state.now + relay_patience);
    send(state, *peer->link, relay_store{id, std::move(operation)});
}

void on_store_done(entry_state& state, const store_done& done)
{
    note_reachability(state, done.reply.status);
    finish(state, done.id, done.reply);
}

void on_relay_reply(entry_state& state, const relay_reply& message)
{
    if (state.relayed.erase(message.id) > 0)
    {
        finish(state, message.id, message.reply);
    }
}

void run_store(entry_state& state)
{
    // A relayed operation whose answer never came may have taken effect: its state machine reads it back.
    std::vector<store_op_id> late;
    for (const auto& [id, until] : state.relayed)
    {
        if (state.now >= until)
        {
            late.push_back(id);
        }
    }
    for (const auto id : late)
    {
        state.relayed.erase(id);
        finish(state, id, {.status = store_status::outcome_unknown});
    }
}

bool may_reply_pending(const entry_state& state)
{
    if (!state.store_away_since || state.confirm)
    {
        return false;
    }
    const auto is_entry = [](const auto& it)
    { return it.second.known.role == process_role::entry && it.second.listed; };
    const auto any_known = std::ranges::any_of(state.peers, is_entry);
    const auto any_live =
        std::ranges::any_of(state.peers, [&](const auto& it) { return is_entry(it) && it.second.live; });
    // Alone among several this process is cut off, and another may be taking its shards.
    return (any_live || !any_known) && relay_for(state) == nullptr;
}

problem obstacle(const entry_state& state)
{
    if (state.stopping)
    {
        return {problem_id::stopping, ran_state::no, "this entry process is stopping", retry_soon};
    }
    if (state.confirm)
    {
        return {problem_id::lost_home, ran_state::no, "this entry process has to confirm that it is the home",
                retry_soon};
    }
    if (!journal_is_stalled(state))
    {
        return {};
    }
    if (!may_reply_pending(state))
    {
        return {problem_id::isolated, ran_state::no,
                "this entry process reaches neither the store nor a peer without it", retry_later};
    }
    if (state.journal->stalled_for(state.now) > state.options.max_tail_age)
    {
        return {problem_id::store_unavailable, ran_state::no, "too much waits to become durable",
                retry_later};
    }
    return {};
}

} // namespace masticcourse::detail

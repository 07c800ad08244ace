// Ownership of shards: which process should own which, claims, hand-overs and checkpoints.
#include "entry_systems.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace masticcourse::detail
{

namespace
{

constexpr auto settle_time = std::chrono::seconds{1};
constexpr auto list_period = std::chrono::seconds{30};
constexpr auto list_retry = std::chrono::milliseconds{300};
constexpr auto claim_retry = std::chrono::milliseconds{500};
constexpr auto rebalance_gap = std::chrono::milliseconds{100};
constexpr std::size_t most_claims = 16;
constexpr std::size_t asked_at_once = 3;
constexpr std::size_t cleaned_at_once = 64;

std::uint64_t score(const process_name& name, shard_index shard)
{
    return XXH64(name.value.data(), name.value.size(), shard);
}

/// The live entry that should own a shard, by highest random weight; this process if it stands alone.
process_name desired_owner(const entry_state& state, shard_index shard)
{
    process_name best = state.stopping ? process_name{} : state.options.name;
    for (const auto& [name, peer] : state.peers)
    {
        const bool serves = peer.live && !peer.leaving && peer.known.role == process_role::entry;
        if (serves && (best.empty() || score(name, shard) > score(best, shard)))
        {
            best = name;
        }
    }
    return best;
}

/// Waits for the other entries to connect, so that a new deployment doesn't hand all shards to the first.
bool settled(entry_state& state)
{
    if (!state.settled_at)
    {
        state.settled_at = state.now + settle_time;
    }
    const auto missing = [](const auto& it)
    { return it.second.listed && it.second.known.role == process_role::entry && !it.second.live; };
    return state.now >= *state.settled_at || std::ranges::none_of(state.peers, missing);
}

bool is_takeable(const entry_state& state, const incarnation_id& owner)
{
    return owner.empty() || is_dead(state, owner);
}

void start_claim(entry_state& state, shard_index index)
{
    auto* const self = &state;
    claimant who{.incarnation = state.options.incarnation,
                 .name = state.options.name,
                 .address = state.options.peer_address,
                 .may_take = [self](const shard_row& row) { return is_takeable(*self, row.owner); },
                 .next_index = [self] { return self->journal->next_index(); }};
    state.shards[index].claim = std::make_unique<shard_claim>(index, std::move(who), *state.recovery);
}

/// Asks a few live processes of one role, from a random one on, if they hear from an owner. Target processes
/// are asked too: they still hear an entry that is cut off from the other entries, and such a one is not to
/// be replaced.
void ask_about_owner(entry_state& state, process_role role, const incarnation_id& owner)
{
    std::vector<link_id> live;
    for (const auto& [name, peer] : state.peers)
    {
        if (peer.live && peer.known.role == role)
        {
            live.push_back(*peer.link);
        }
    }
    const auto count = std::min(asked_at_once, live.size());
    for (std::size_t n = 0, first = live.empty() ? 0 : state.random() % live.size(); n < count; ++n)
    {
        send(state, live[(first + n) % live.size()], liveness_ask{owner});
    }
}

/// Notes which owners of shards are missed, and asks the other entries about them before it counts.
void watch_owners(entry_state& state)
{
    std::set<incarnation_id> owners;
    for (const auto& shard : state.shards)
    {
        if (!shard.owned && !shard.owner.empty() && !is_live(state, shard.owner))
        {
            owners.insert(shard.owner);
        }
    }
    std::erase_if(state.missed, [&](const auto& it) { return !owners.contains(it.first); });
    for (const auto& owner : owners)
    {
        auto& missed = state.missed.try_emplace(owner, missed_owner{.since = state.now}).first->second;
        if (missed.asked || state.now - missed.since < state.options.takeover_delay / 2)
        {
            continue;
        }
        missed.asked = true;
        ask_about_owner(state, process_role::entry, owner);
        ask_about_owner(state, process_role::target, owner);
    }
}

bool wants(const entry_state& state, shard_index index)
{
    const auto& shard = state.shards[index];
    return !shard.owned && !shard.claim && state.now >= shard.claim_not_before &&
           is_takeable(state, shard.owner) && desired_owner(state, index) == state.options.name;
}

void claim_missing(entry_state& state)
{
    auto under_way = static_cast<std::size_t>(
        std::ranges::count_if(state.shards, [](const shard_state& it) { return it.claim != nullptr; }));
    for (shard_index index = 0; index < state.shards.size() && under_way < most_claims; ++index)
    {
        if (wants(state, index))
        {
            start_claim(state, index);
            ++under_way;
        }
    }
    if (under_way == 0)
    {
        state.recovery->clear();
    }
}

void finish_claim(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    switch (shard.claim->state())
    {
    case claim_state::claiming:
        return;
    case claim_state::taken:
        install_shard(state, index);
        break;
    case claim_state::taken_by_other:
        shard.epoch = shard.claim->row().epoch;
        shard.owner = shard.claim->row().owner;
        shard.owner_address = shard.claim->row().owner_address;
        shard.claim_not_before = state.now + claim_retry;
        break;
    case claim_state::damaged_row:
        state.trace(event_id::journal_damaged, {}, {}, {{"row", shard_key(index)}});
        shard.claim_not_before = state.now + list_period;
        break;
    }
    shard.claim.reset();
}

void poll_claim(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    if (auto operation = shard.claim->poll(state.now))
    {
        run_on_store(state, std::move(*operation), claim_purpose{index});
    }
    finish_claim(state, index);
}

void finish_release(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    state.trace(event_id::shard_released, {}, {}, {{"shard", std::to_string(index)}});
    lose_shard(state, index, shard.epoch);
    shard.owner = {};
    shard.owner_address.clear();
    tell_owner(state, index);
}

void finish_checkpoint(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    shard.checkpoint_from.reset();
    state.trace(event_id::checkpoint_written, {}, {}, {{"shard", std::to_string(index)}});
    if (!state.cleaner)
    {
        state.cleaner =
            std::make_unique<journal_cleaner>(state.options.incarnation, cleaned_at_once, retry_options{});
    }
}

void finish_update(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    if (shard.update->state() == update_state::updating)
    {
        return;
    }
    const auto update = std::move(shard.update);
    if (update->state() == update_state::lost_shard)
    {
        lose_shard(state, index, shard.epoch);
        return;
    }
    shard.row = update->row();
    shard.version = update->version();
    if (shard.releasing)
    {
        finish_release(state, index);
        return;
    }
    finish_checkpoint(state, index);
}

void poll_update(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    if (auto operation = shard.update->poll(state.now))
    {
        run_on_store(state, std::move(*operation), update_purpose{index});
    }
    finish_update(state, index);
}

/// Writes all programs of a shard as snapshots, so that recovery need not read what came before.
void write_checkpoint(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    shard.checkpoint_from = state.journal->next_index();
    shard.records_since_checkpoint = 0;
    journal_ticket last = 0;
    for (const auto& [id, program] : state.programs.programs())
    {
        if (shard_of(id, state.options.shards) == index)
        {
            last = append(state, id, *state.programs.snapshot_of(id));
        }
    }
    shard.records_since_checkpoint = 0;
    if (last == 0)
    {
        shard.checkpoint_from.reset();
        return;
    }
    when_durable(state, last, snapshots_are_durable{index, *shard.checkpoint_from});
}

bool may_release(const entry_state& state, shard_index index)
{
    const auto& shard = state.shards[index];
    const bool idle = !shard.update && !shard.checkpoint_from && !has_calls(state, index);
    return shard.owned && idle && state.journal->durable() == state.journal->last_ticket();
}

/// Whether the next home would count escrow as spent that this one knows is not.
bool holds_unspent_escrow(const entry_state& state, shard_index index)
{
    return std::ranges::any_of(state.ledgers,
                               [&](const auto& it)
                               {
                                   const auto& [root, ledger] = it;
                                   const bool here = shard_of(root, state.options.shards) == index;
                                   return here && ledger.escrow() > ledger.spent();
                               });
}

/// A program as the next home shall find it: nothing runs, so that what is not spent is given back.
program_snapshot snapshot_to_hand_over(const entry_state& state, const program_id& id)
{
    auto snapshot = *state.programs.snapshot_of(id);
    if (const auto it = state.ledgers.find(id); it != state.ledgers.end())
    {
        snapshot.escrow = it->second.spent();
    }
    return snapshot;
}

void begin_release(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    shard.releasing = true;
    shard.serving = false;
    if (!holds_unspent_escrow(state, index))
    {
        finish_hand_over(state, index);
        return;
    }
    shard.checkpoint_from = state.journal->next_index();
    journal_ticket last = 0;
    for (const auto& [id, program] : state.programs.programs())
    {
        if (shard_of(id, state.options.shards) == index)
        {
            last = append(state, id, snapshot_to_hand_over(state, id));
        }
    }
    when_durable(state, last, snapshots_are_durable{index, *shard.checkpoint_from});
}

void release_unwanted(entry_state& state)
{
    if (state.confirm || state.now < state.next_rebalance)
    {
        return;
    }
    for (shard_index index = 0; index < state.shards.size(); ++index)
    {
        const bool unwanted = state.stopping || desired_owner(state, index) != state.options.name;
        if (!unwanted || !may_release(state, index))
        {
            continue;
        }
        begin_release(state, index);
        if (!state.stopping)
        {
            state.next_rebalance = state.now + rebalance_gap;
            return;
        }
    }
}

void tend_owned(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    if (!shard.serving && !shard.releasing && (shard.gathering.empty() || state.now >= shard.gather_until))
    {
        shard.serving = true;
        shard.gathering.clear();
        state.trace(event_id::recovery_finished, {}, {}, {{"shard", std::to_string(index)}});
    }
    const bool due = shard.records_since_checkpoint >= state.options.checkpoint_records;
    if (due && shard.serving && !shard.update && !shard.checkpoint_from)
    {
        write_checkpoint(state, index);
    }
}

void list_shards(entry_state& state)
{
    if (state.shard_list_in_flight || state.now < state.next_shard_list)
    {
        return;
    }
    state.shard_list_in_flight = true;
    run_on_store(state, table_list{std::string{shard_key_prefix}}, shard_list_purpose{});
}

} // namespace

void finish_hand_over(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    if (shard.checkpoint_from)
    {
        // The snapshots are all that the next home has to read.
        shard.row.parts = {{.journal = state.options.incarnation, .from_index = *shard.checkpoint_from}};
        shard.checkpoint_from.reset();
    }
    shard.update = std::make_unique<shard_update>(
        shard_release(shard.row, shard.version, state.journal->durable_end(), {}));
}

process_name name_in(const incarnation_id& incarnation)
{
    return {incarnation.value.substr(0, incarnation.value.find('#'))};
}

incarnation_id make_incarnation(const process_name& name, std::uint64_t random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr auto digit_bits = 4U;
    std::string id = name.value + '#';
    for (auto rest = random; id.size() < name.value.size() + 1 + 2 * sizeof(random); rest >>= digit_bits)
    {
        id += digits[rest % digits.size()];
    }
    return {id};
}

bool is_dead(const entry_state& state, const incarnation_id& owner)
{
    if (owner == state.options.incarnation || is_live(state, owner))
    {
        return false;
    }
    const auto name = name_in(owner);
    if (name == state.options.name)
    {
        return true;
    }
    if (const auto it = state.peers.find(name); it != state.peers.end() && it->second.live)
    {
        // The process is back as another incarnation.
        return true;
    }
    const auto missed = state.missed.find(owner);
    return missed != state.missed.end() && state.now - missed->second.since >= state.options.takeover_delay;
}

bool has_calls(const entry_state& state, shard_index shard)
{
    return std::ranges::any_of(state.calls, [&](const auto& it)
                               { return shard_of(it.first.program, state.options.shards) == shard; });
}

shard_state& shard_for(entry_state& state, const program_id& program)
{
    return state.shards[shard_of(program, state.options.shards)];
}

void tell_owner(entry_state& state, shard_index shard)
{
    const auto& row = state.shards[shard];
    const shard_owners message{{{shard, row.epoch, row.owner, row.owner_address}}};
    for (const auto& [name, peer] : state.peers)
    {
        if (peer.live && peer.known.role == process_role::entry)
        {
            send(state, *peer.link, message);
        }
    }
}

void tell_all_owned(entry_state& state, link_id link)
{
    shard_owners message;
    for (shard_index index = 0; index < state.shards.size(); ++index)
    {
        const auto& shard = state.shards[index];
        if (shard.owned)
        {
            message.owners.push_back({index, shard.epoch, shard.owner, shard.owner_address});
        }
    }
    if (!message.owners.empty())
    {
        send(state, link, std::move(message));
    }
}

void on_shard_owners(entry_state& state, const shard_owners& message)
{
    for (const auto& it : message.owners)
    {
        if (it.shard >= state.shards.size())
        {
            continue;
        }
        auto& shard = state.shards[it.shard];
        const bool released = it.epoch == shard.epoch && it.owner.empty() && !shard.owned;
        if (it.epoch <= shard.epoch && !released)
        {
            continue;
        }
        if (shard.owned)
        {
            lose_shard(state, it.shard, it.epoch);
        }
        shard.epoch = it.epoch;
        shard.owner = it.owner;
        shard.owner_address = it.address;
    }
}

void on_shard_list(entry_state& state, const store_reply& reply)
{
    state.shard_list_in_flight = false;
    if (reply.status != store_status::ok)
    {
        state.next_shard_list = state.now + list_retry;
        return;
    }
    state.shards_listed = true;
    state.next_shard_list = state.now + list_period;
    shard_owners known;
    for (const auto& it : reply.rows)
    {
        if (const auto row = decode_shard_row(it.value))
        {
            known.owners.push_back({row->shard, row->epoch, row->owner, row->owner_address});
        }
    }
    on_shard_owners(state, known);
}

void on_claim_reply(entry_state& state, shard_index shard, const store_reply& reply)
{
    if (state.shards[shard].claim)
    {
        state.shards[shard].claim->on_reply(reply, state.now);
    }
}

void on_update_reply(entry_state& state, shard_index shard, const store_reply& reply)
{
    if (state.shards[shard].update)
    {
        state.shards[shard].update->on_reply(reply, state.now);
    }
}

void on_liveness_answer(entry_state& state, const liveness_answer& answer)
{
    const auto it = state.missed.find(answer.incarnation);
    if (answer.heard && it != state.missed.end())
    {
        it->second = {.since = state.now};
        state.trace(event_id::takeover_deferred, {}, {}, {{"owner", answer.incarnation.value}});
    }
}

void run_shards(entry_state& state)
{
    list_shards(state);
    watch_owners(state);
    if (state.shards_listed && !state.stopping && settled(state))
    {
        claim_missing(state);
    }
    if (auto operation = state.recovery->poll(state.now))
    {
        run_on_store(state, std::move(*operation), recovery_purpose{});
    }
    for (shard_index index = 0; index < state.shards.size(); ++index)
    {
        auto& shard = state.shards[index];
        if (shard.claim)
        {
            poll_claim(state, index);
        }
        if (shard.update)
        {
            poll_update(state, index);
        }
        if (shard.owned)
        {
            tend_owned(state, index);
        }
    }
    release_unwanted(state);
}

} // namespace masticcourse::detail

// What a new home does with a shard's records, and what an old one does that has lost it.
#include "entry_systems.hpp"

#include <algorithm>

namespace masticcourse::detail
{

namespace
{

constexpr auto gather_time = std::chrono::seconds{1};
constexpr auto ask_time = std::chrono::seconds{20};

std::vector<program_id> programs_of(const entry_state& state, shard_index shard)
{
    std::vector<program_id> found;
    for (const auto& [id, program] : state.programs.programs())
    {
        if (shard_of(id, state.options.shards) == shard)
        {
            found.push_back(id);
        }
    }
    return found;
}

/// The former home meant to send this call, and nobody knows what came of it: its target process does.
void ask_about(entry_state& state, const program_state& program, const call_intended& intent)
{
    call_row call;
    call.ref = {program.program, intent.request.key};
    call.request = intent.request;
    call.workspace = program.spec.workspace;
    call.digest = digest_of(intent.request);
    call.phase = call_phase::asking;
    call.turn_number = static_cast<std::uint32_t>(program.turns.size() + 1);
    call.target = intent.target;
    call.target_incarnation = intent.target_incarnation;
    call.accepted = state.now;
    call.deadline = state.now + ask_time;
    state.runtimes[program.program].active = call.ref.key;
    const auto ref = call.ref;
    state.calls[ref] = std::move(call);
    const auto peer = state.peers.find(intent.target);
    if (peer != state.peers.end() && peer->second.live)
    {
        // Only the life of the target process that the call was sent to can know.
        resume_at(state, state.calls.at(ref), true);
    }
}

/// The call runs at a target process, which will send its outcome here.
void follow(entry_state& state, const process_name& target, const kept_result& kept)
{
    const auto* const program = state.programs.find(kept.call.program);
    auto& runtime = state.runtimes[kept.call.program];
    if (runtime.active || kept.turn_number != program->turns.size() + 1)
    {
        return;
    }
    call_row call;
    call.ref = kept.call;
    call.request = kept.request;
    call.workspace = program->spec.workspace;
    call.digest = digest_of(kept.request);
    call.phase = call_phase::dispatched;
    call.turn_number = kept.turn_number;
    call.target = target;
    call.target_incarnation = state.peers[target].incarnation;
    call.accepted = state.now;
    call.dispatched = state.now;
    call.deadline = state.now + state.options.default_deadline;
    runtime.active = call.ref.key;
    runtime.touched.insert(target);
    state.calls[kept.call] = std::move(call);
}

bool is_turn(const call_outcome& outcome)
{
    return !outcome.error.failed();
}

/// Takes a kept result into the history, if it extends it. A turn that is there is never rewritten.
void adopt(entry_state& state, const process_name& target, const kept_result& kept)
{
    const auto* const program = state.programs.find(kept.call.program);
    const auto same_key = [&](const turn& it) { return it.key == kept.call.key; };
    if (std::ranges::any_of(program->turns, same_key))
    {
        send_to(state, target, outcome_durable{kept.call});
        return;
    }
    if (const auto it = state.calls.find(kept.call); it != state.calls.end())
    {
        if (it->second.phase == call_phase::asking)
        {
            on_call_answer(state, target, {kept.call, call_knowledge::finished, kept.outcome});
        }
        return;
    }
    auto& runtime = state.runtimes[kept.call.program];
    if (runtime.active || !is_turn(kept.outcome) || kept.turn_number != program->turns.size() + 1)
    {
        return;
    }
    follow(state, target, kept);
    state.trace(event_id::call_adopted, kept.call.program, kept.call.key);
    finish_with_turn(state, state.calls.at(kept.call), kept.outcome);
}

void on_kept(entry_state& state, const process_name& target, const kept_result& kept, bool running)
{
    const auto* const program = state.programs.find(kept.call.program);
    if (program == nullptr || program->ended)
    {
        return;
    }
    if (!running)
    {
        adopt(state, target, kept);
    }
    else if (!state.calls.contains(kept.call))
    {
        follow(state, target, kept);
    }
}

/// Programs whose records have a gap are not served, and an operator is told. Records before a snapshot in
/// the same entry may lack what the snapshot holds; only what is still missing behind the last record counts.
void report_damages(entry_state& state, shard_index index)
{
    for (const auto& [program, damage] : state.programs.damages())
    {
        if (shard_of(program, state.options.shards) == index)
        {
            state.trace(event_id::journal_damaged, program, {},
                        {{"shard", std::to_string(index)},
                         {"expected", std::to_string(damage.expected)},
                         {"found", std::to_string(damage.found)}});
        }
    }
}

bool is_own_machine(const store_purpose& purpose)
{
    return std::holds_alternative<journal_purpose>(purpose) ||
           std::holds_alternative<recovery_purpose>(purpose) ||
           std::holds_alternative<claim_purpose>(purpose) ||
           std::holds_alternative<update_purpose>(purpose) ||
           std::holds_alternative<cleaner_purpose>(purpose);
}

} // namespace

void install_shard(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    const auto& claim = *shard.claim;
    shard.owned = true;
    shard.releasing = false;
    shard.row = claim.row();
    shard.version = claim.version();
    shard.epoch = shard.row.epoch;
    shard.owner = state.options.incarnation;
    shard.owner_address = state.options.peer_address;
    shard.records_since_checkpoint = claim.records().size();
    for (const auto& id : programs_of(state, index))
    {
        forget_program(state, id);
    }
    for (const auto& record : claim.records())
    {
        state.programs.apply(record.payload);
    }
    report_damages(state, index);
    for (const auto& damage : claim.damages())
    {
        state.trace(event_id::journal_damaged, {}, {}, {{"journal", damage.journal.value}});
    }
    ++state.counts.takeovers;
    state.trace(event_id::shard_claimed, {}, {},
                {{"shard", std::to_string(index)}, {"epoch", std::to_string(shard.epoch)}});
    for (const auto& id : programs_of(state, index))
    {
        install_program(state, *state.programs.find(id));
    }
    tell_owner(state, index);
    begin_gathering(state, index);
    for (const auto& id : programs_of(state, index))
    {
        const auto& program = *state.programs.find(id);
        std::ranges::for_each(program.intents,
                              [&](const call_intended& it) { ask_about(state, program, it); });
    }
}

void begin_gathering(entry_state& state, shard_index index)
{
    auto& shard = state.shards[index];
    shard.serving = false;
    shard.gathering.clear();
    shard.gather_until = state.now + gather_time;
    if (shard.epoch <= 1)
    {
        // The first owner ever: there is nothing that anybody could have kept.
        return;
    }
    for (const auto& [name, peer] : state.peers)
    {
        if (peer.known.role == process_role::target && (peer.live || peer.listed))
        {
            shard.gathering.insert(name);
            send_to(state, name, collect_shard{index, shard.epoch});
        }
    }
}

void announce_epochs(entry_state& state, const process_name& target)
{
    for (shard_index index = 0; index < state.shards.size(); ++index)
    {
        const auto& shard = state.shards[index];
        if (shard.owned && shard.epoch > 1)
        {
            send_to(state, target, collect_shard{index, shard.epoch});
        }
    }
}

void on_kept_results(entry_state& state, const process_name& target, const kept_results& message)
{
    if (message.shard >= state.shards.size())
    {
        return;
    }
    auto& shard = state.shards[message.shard];
    if (!shard.owned || shard.releasing || message.epoch != shard.epoch)
    {
        return;
    }
    auto results = message.results;
    std::ranges::sort(results, {}, &kept_result::turn_number);
    std::ranges::for_each(results, [&](const kept_result& it) { on_kept(state, target, it, false); });
    std::ranges::for_each(message.in_progress,
                          [&](const kept_result& it) { on_kept(state, target, it, true); });
    shard.gathering.erase(target);
}

void lose_shard(entry_state& state, shard_index index, epoch_number epoch)
{
    auto& shard = state.shards[index];
    const bool given_up = shard.releasing;
    shard.owned = false;
    shard.serving = false;
    shard.releasing = false;
    shard.update.reset();
    shard.checkpoint_from.reset();
    shard.gathering.clear();
    shard.records_since_checkpoint = 0;
    if (!given_up)
    {
        state.trace(event_id::shard_lost, {}, {},
                    {{"shard", std::to_string(index)}, {"epoch", std::to_string(epoch)}});
    }
    std::vector<call_ref> lost;
    for (const auto& [ref, call] : state.calls)
    {
        if (shard_of(ref.program, state.options.shards) == index)
        {
            lost.push_back(ref);
        }
    }
    std::ranges::for_each(lost, [&](const call_ref& ref) { abandon_call(state, ref); });
    for (const auto& id : programs_of(state, index))
    {
        forget_program(state, id);
    }
}

void start_over(entry_state& state)
{
    state.trace(event_id::journal_sealed, {}, {}, {{"incarnation", state.options.incarnation.value}});
    for (shard_index index = 0; index < state.shards.size(); ++index)
    {
        auto& shard = state.shards[index];
        shard.claim.reset();
        if (shard.owned)
        {
            lose_shard(state, index, shard.epoch);
        }
    }
    fail_awaiting(state);
    std::erase_if(state.store_ops, [](const auto& it) { return is_own_machine(it.second); });
    state.options.incarnation = make_incarnation(state.options.name, state.random());
    state.begin_life();
    state.cleaner.reset();
    state.confirm.reset();
    state.shards_listed = false;
    state.next_shard_list = state.now;
    close_all_links(state);
}

} // namespace masticcourse::detail

/// @file
/// The tables of the entry core. Each system is a set of free functions over them, in a file of its own.
#pragma once

#include "masticcourse/control/api_request.hpp"
#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/policy/circuit_breaker.hpp"
#include "masticcourse/policy/load_tracker.hpp"
#include "masticcourse/policy/loop_guard.hpp"
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/policy/retry.hpp"
#include "masticcourse/state/budget_ledger.hpp"
#include "masticcourse/state/config_patch.hpp"
#include "masticcourse/state/config_tracker.hpp"
#include "masticcourse/state/journal_cleaner.hpp"
#include "masticcourse/state/journal_writer.hpp"
#include "masticcourse/state/program_state.hpp"
#include "masticcourse/state/recovered_journals.hpp"
#include "masticcourse/state/shard_claim.hpp"
#include "masticcourse/state/shard_update.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticcourse::detail
{

/// @name Connections and processes
/// @{

/// One connection to another process.
struct link_row
{
    bool open = false;
    bool outbound = false;
    /// Whom we dialled; for inbound links known from their hello on.
    process_name name;
    core_time last_heard{};
    core_time last_sent{};
    std::uint64_t sequence = 0;
};

/// Another process, known from settings, the platform's list, or its hello.
struct peer_row
{
    known_process known;
    bool listed = false;
    std::optional<link_id> link;
    incarnation_id incarnation;
    /// A hello came on @a link and heartbeats keep coming.
    bool live = false;
    core_time last_heard{};
    core_time next_dial{};
    bool store_reachable = true;
    bool leaving = false;
};

/// How old a target's report is when it arrives, at most in ordinary times.
inline constexpr auto report_lag = std::chrono::milliseconds{5};

/// What this home knows of one target.
struct target_row
{
    std::optional<target_load> report;
    core_time reported{};
    /// This home's own calls there, which a lagging report may not know of.
    load_tracker tracker{report_lag};
    circuit_breaker breaker;
};
/// @}

/// @name Callers
/// @{

/// A caller connected to this process.
struct local_caller
{
    request_id id = 0;
};

/// A caller connected to another entry, which forwarded the request.
struct forwarded_caller
{
    link_id link = 0;
    std::uint64_t id = 0;
};

using reply_route = std::variant<local_caller, forwarded_caller>;

/// A request that this entry forwarded and whose answer it waits for.
struct forwarded_row
{
    request_id caller = 0;
    forward_request raw;
    program_id program;
    /// The link it went over; none while its home is being looked for again.
    std::optional<link_id> link;
    core_time expires{};
    core_time next_try{};
    /// Whether giving up now leaves open if the request ran.
    bool may_have_run = false;
};
/// @}

/// @name Programs and calls
/// @{

/// Someone who waits for a call's outcome.
struct waiter
{
    reply_route route;
    bool stream = false;
    /// Bytes of the streamed answer that this waiter has been sent.
    std::size_t offset = 0;
    /// The id of the last event that it has: names the bytes before @a offset.
    std::uint64_t last_event = 0;
    /// An earlier home may have run its request, so that it is never told "not run".
    bool repeated = false;
};

enum class call_phase : std::uint8_t
{
    /// Behind other calls of its program.
    waiting_turn,
    /// More escrow is on its way to the journal.
    waiting_escrow,
    /// Its intent is on its way to the journal.
    waiting_intent,
    /// At a target process.
    dispatched,
    /// Taken over from a former home with an intent and no result: its target process is asked.
    asking,
    /// Its outcome is known; its record is on its way to the journal.
    committing,
    /// It has failed without a run, but the store may hold an intent of it whose withdrawal is not durable
    /// yet.
    withdrawing,
};

/// A call between its acceptance and the durability of its turn.
struct call_row
{
    call_ref ref;
    call_request request;
    workspace_id workspace;
    std::uint64_t digest = 0;
    call_phase phase = call_phase::waiting_turn;
    std::uint32_t turn_number = 0;
    process_name target;
    incarnation_id target_incarnation;
    /// The part of its prompt that its target has to compute, as expected.
    token_count prefill = 0;
    core_time accepted{};
    core_time dispatched{};
    core_time deadline{};
    core_time finished{};
    std::optional<reservation> reserved;
    std::vector<process_name> tried;
    /// Attempts that may have run and brought no outcome.
    std::uint32_t lost_attempts = 0;
    /// The record of its present intent; 0 if there is none from this home.
    journal_ticket intent = 0;
    /// The withdrawal that has to be durable before a caller is told that the call did not run; 0 if none.
    journal_ticket withdrawal = 0;
    /// The same for the intents before the present one.
    journal_ticket former_withdrawal = 0;
    /// What its callers are told once the withdrawal is durable.
    problem failure;
    /// The answer as streamed so far.
    std::string streamed;
    std::uint64_t next_sequence = 0;
    std::vector<waiter> waiters;
    call_outcome outcome;
};

/// Which target holds how much of a program's prefix, as far as this home knows.
struct prefix_place
{
    process_name target;
    token_count tokens = 0;
};

/// What a home keeps of a program beyond its durable state.
struct program_runtime
{
    std::deque<call_key> waiting;
    std::optional<call_key> active;
    process_name last_target;
    std::vector<prefix_place> prefixes;
    /// Target processes that may hold engine memory for the program.
    std::set<process_name> touched;
    core_time last_activity{};
    token_count history_tokens = 0;
    token_count attained = 0;
    std::uint32_t children = 0;
    loop_guard guard;
    bool guard_filled = false;
};
/// @}

/// @name Shards
/// @{

/// What this process knows of one shard.
struct shard_state
{
    epoch_number epoch = 0;
    incarnation_id owner;
    std::string owner_address;
    bool owned = false;
    /// Owned, and what target processes kept has been gathered.
    bool serving = false;
    /// The row as this process wrote it, while owned.
    shard_row row;
    row_version version = 0;
    std::unique_ptr<shard_claim> claim;
    std::unique_ptr<shard_update> update;
    core_time claim_not_before{};
    /// Target processes whose kept results are still awaited, and until when.
    std::set<process_name> gathering;
    core_time gather_until{};
    std::size_t records_since_checkpoint = 0;
    /// The index from which the shard's snapshots stand, while a checkpoint is under way.
    std::optional<std::uint64_t> checkpoint_from;
    bool releasing = false;
};
/// @}

/// An owner of shards that does not answer.
struct missed_owner
{
    core_time since{};
    bool asked = false;
};

/// @name What becomes durable
/// @{
struct creation_durable
{
    program_id program;
    reply_route route;
};
struct escrow_is_durable
{
    program_id root;
    token_count total = 0;
};
struct intent_is_durable
{
    call_ref call;
    journal_ticket ticket = 0;
};
struct turn_is_durable
{
    call_ref call;
};
struct end_is_durable
{
    program_id program;
    reply_route route;
};
struct probe_is_durable
{
    journal_ticket ticket = 0;
};
struct snapshots_are_durable
{
    shard_index shard = 0;
    std::uint64_t from_index = 0;
};

using durable_event = std::variant<creation_durable, escrow_is_durable, intent_is_durable, turn_is_durable,
                                   end_is_durable, probe_is_durable, snapshots_are_durable>;

/// What to do when the journal reaches a ticket.
struct durable_row
{
    journal_ticket ticket = 0;
    core_time appended{};
    durable_event event;
    /// A reply that said `pending` has gone out.
    bool told = false;
};
/// @}

/// @name What a reply of the store is for
/// @{
struct journal_purpose
{
};
struct recovery_purpose
{
};
struct claim_purpose
{
    shard_index shard = 0;
};
struct update_purpose
{
    shard_index shard = 0;
};
struct shard_list_purpose
{
};
struct config_purpose
{
};
struct patch_purpose
{
    std::uint64_t patch = 0;
};
struct cleaner_purpose
{
};
struct relayed_purpose
{
    link_id link = 0;
    std::uint64_t id = 0;
};

using store_purpose =
    std::variant<journal_purpose, recovery_purpose, claim_purpose, update_purpose, shard_list_purpose,
                 config_purpose, patch_purpose, cleaner_purpose, relayed_purpose>;
/// @}

/// A patch of the configuration that an operator waits for.
struct patch_row
{
    config_patch machine;
    reply_route route;
    core_time expires{};
    std::string fault;
};

struct call_ref_hash
{
    std::size_t operator()(const call_ref& ref) const
    {
        return std::hash<program_id>{}(ref.program) ^ (std::hash<call_key>{}(ref.key) << 1U);
    }
};

/// All tables of the core, and what every system needs besides: the time, the outputs, random numbers.
struct entry_state
{
    explicit entry_state(entry_options given);

    /// Makes the journal, and what reads others' journals, of the present incarnation.
    void begin_life();

    entry_options options;
    core_time now{};
    std::optional<core_time> last_step;
    core_time next_scan{};
    bool inputs_since_scan = false;
    std::vector<entry_output> out;
    random_source random;
    entry_counts counts;

    std::map<link_id, link_row> links;
    std::map<process_name, peer_row> peers;
    std::map<process_name, target_row> targets;
    link_id next_link = 1;

    std::vector<shard_state> shards;
    std::unique_ptr<recovered_journals> recovery;
    core_time next_shard_list{};
    bool shards_listed = false;
    /// Owners of shards that don't answer, and since when they have been missed.
    std::map<incarnation_id, missed_owner> missed;
    /// Claims wait for this: the peers get a chance to connect first.
    std::optional<core_time> settled_at;
    core_time next_rebalance{};
    bool shard_list_in_flight = false;
    core_time next_owner_gossip{};

    std::unique_ptr<journal_writer> journal;
    std::deque<durable_row> awaiting;
    std::unique_ptr<journal_cleaner> cleaner;
    /// Nothing is served before this ticket is durable: the process slept, and may have lost its shards.
    std::optional<journal_ticket> confirm;
    core_time last_confirm{};

    program_table programs;
    std::unordered_map<program_id, program_runtime> runtimes;
    std::map<program_id, budget_ledger> ledgers;
    std::unordered_map<call_ref, call_row, call_ref_hash> calls;
    retry_budget retries;
    std::uint64_t placements = 0;
    core_time next_renewal{};

    std::map<std::uint64_t, forwarded_row> forwarded;
    std::uint64_t next_forward = 1;

    std::map<store_op_id, store_purpose> store_ops;
    store_op_id next_store_op = 1;
    std::optional<core_time> store_away_since;
    /// Operations that went through a peer, and until when their answers are waited for.
    std::map<store_op_id, core_time> relayed;

    config_tracker config;
    config_version config_applied = 0;
    /// What the configuration in force says.
    config_view view;
    std::map<std::uint64_t, patch_row> patches;
    std::uint64_t next_patch = 1;
    std::uint64_t incarnations = 0;

    bool was_ready = false;
    bool stopping = false;
    bool stopped = false;

    /// Shorthand for outputs.
    void emit(entry_output output)
    {
        out.push_back(std::move(output));
    }

    void trace(event_id id, const program_id& program = {}, const call_key& call = {},
               std::vector<event_field> fields = {})
    {
        emit(trace_event{id, program, call, std::move(fields)});
    }
};

} // namespace masticcourse::detail

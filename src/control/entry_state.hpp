/// @file
/// The tables of the entry core. Each system is a set of free functions over them in a file of its own.
#pragma once

#include "masticcourse/control/api_request.hpp"
#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/policy/circuit_breaker.hpp"
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/state/budget_ledger.hpp"
#include "masticcourse/state/config_tracker.hpp"
#include "masticcourse/state/journal_writer.hpp"
#include "masticcourse/state/program_state.hpp"
#include "masticcourse/state/shard_claim.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
    link_id id = 0;
    bool open = false;
    /// Whom we dialled; empty for inbound links until their hello.
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
    /// Heartbeats of @a incarnation arrive.
    bool live = false;
    core_time last_heard{};
    core_time next_dial{};
    config_version config = 0;
    bool store_reachable = true;
    bool leaving = false;
};

/// What this home knows of one target.
struct target_row
{
    std::optional<target_load> report;
    core_time reported{};
    std::uint32_t in_flight = 0;
    token_count in_flight_prefill = 0;
    token_count in_flight_decode = 0;
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
    link_id link = 0;
    bool stream = false;
    /// Whether the request may have reached a home that could run it.
    bool may_run = false;
    core_time expires{};
};
/// @}

/// @name Programs and calls
/// @{

struct stream_event
{
    std::string name;
    std::string data;
};

/// Someone who waits for a call's outcome.
struct waiter
{
    reply_route route;
    bool stream = false;
    /// The next event that this waiter has not been sent.
    std::uint64_t next_event = 0;
};

enum class call_phase : std::uint8_t
{
    /// Behind other calls of its program.
    waiting_turn,
    /// Its intent is not durable yet.
    waiting_intent,
    /// At a target process.
    dispatched,
    /// Its outcome is known and its record is not durable yet.
    committing,
};

/// A call between its acceptance and the durability of its turn.
struct call_row
{
    call_ref ref;
    call_request request;
    std::uint64_t digest = 0;
    call_phase phase = call_phase::waiting_turn;
    std::uint32_t turn_number = 0;
    process_name target;
    incarnation_id target_incarnation;
    /// Counted against the target's in-flight work.
    token_count prefill = 0;
    token_count decode = 0;
    core_time accepted{};
    core_time dispatched{};
    core_time deadline{};
    std::optional<reservation> reserved;
    std::vector<process_name> tried;
    std::vector<stream_event> events;
    std::uint64_t next_sequence = 0;
    std::vector<waiter> waiters;
    journal_ticket ticket = 0;
    call_outcome outcome;
    core_time finished{};
    /// The outcome was told to its waiters before it was durable.
    bool told_pending = false;
    /// Recovered from an intent of a former home: it is asked for, never sent.
    bool recovered = false;
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
    /// Target processes that may hold engine memory for this program.
    std::set<process_name> touched;
    core_time last_activity{};
    token_count history_tokens = 0;
    token_count attained = 0;
    std::uint32_t children = 0;
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
    std::unique_ptr<shard_claim> claim;
    core_time claim_not_before{};
    /// Since when the owner has been missed.
    std::optional<core_time> missed_since;
    std::optional<core_time> asked_peers;
    /// Target processes whose kept results are still awaited, and until when.
    std::set<process_name> gathering;
    core_time gather_until{};
    std::size_t records_since_checkpoint = 0;
};
/// @}

/// What a reply from the store is for.
struct journal_purpose
{
};
struct claim_purpose
{
    shard_index shard = 0;
};
struct release_purpose
{
    shard_index shard = 0;
};
struct checkpoint_purpose
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
struct relay_purpose
{
    link_id link = 0;
    std::uint64_t id = 0;
};

using store_purpose = std::variant<journal_purpose, claim_purpose, release_purpose, checkpoint_purpose,
                                   shard_list_purpose, config_purpose, patch_purpose, relay_purpose>;

} // namespace masticcourse::detail

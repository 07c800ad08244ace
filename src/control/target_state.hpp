/// @file
/// The tables of the target core, and what all of its systems share.
#pragma once

#include "masticcourse/control/target_core.hpp"
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/target_queue.hpp"
#include "settled_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::detail
{

enum class call_stage : std::uint8_t
{
    queued,
    running,
    /// Its result is kept until it is durable.
    finished,
};

/// A call that this process has accepted.
struct target_call
{
    dispatch_call order;
    call_stage stage = call_stage::queued;
    core_time arrived{};
    std::optional<core_time> started;
    std::optional<core_time> first_token;
    core_time ended{};
    std::optional<core_time> deadline;
    /// It ran here before, and its result is gone.
    bool ran_before = false;
    /// A cancel is under way; what the backend says first stands.
    bool cancelling = false;
    /// What has been streamed so far.
    std::vector<std::string> tokens;
    call_outcome outcome;
    /// Memory that the call counts for.
    std::size_t bytes = 0;
};

/// The newest ownership of a shard that this process has seen.
struct shard_fence
{
    epoch_number epoch = 0;
    incarnation_id home;
    /// The home's connection; 0 while there is none.
    link_id link = 0;
};

/// A program whose engine memory is kept.
struct program_lease
{
    /// Unknown until a call has come.
    std::optional<shard_index> shard;
    core_time until{};
    /// Tokens that the engine is believed to hold.
    token_count held = 0;
};

/// A connection to another process.
struct target_link
{
    std::optional<peer_hello> hello;
    core_time last_heard{};
    core_time next_heartbeat{};
    std::uint64_t sequence = 0;
};

/// An operation on the platform's store that a peer asked for.
struct relayed_op
{
    link_id link = 0;
    std::uint64_t id = 0;
};

/// Speeds as measured from finished calls, tokens per second; 0 until there was one.
struct measured_rates
{
    double prefill = 0;
    /// Of one sequence.
    double decode = 0;
};

/// Everything that the core knows. Systems are free functions over it.
struct target_state
{
    explicit target_state(target_options given);

    target_options options;
    core_time now{};
    std::optional<core_time> started_at;
    std::vector<target_output> out;
    target_counts counts;

    std::map<call_ref, target_call> calls;
    settled_calls settled;
    target_queue queue;
    engine_admission admission;
    /// Deadlines of queued and running calls.
    std::set<std::pair<core_time, call_ref>> deadlines;
    /// Cancelled calls that the backend has not let go of, and until when they keep their places.
    std::map<call_ref, core_time> ending;
    core_time next_result_check{};
    std::size_t bytes = 0;

    std::map<shard_index, shard_fence> shards;
    std::map<program_id, program_lease> programs;
    core_time next_lease_check{};
    core_time next_listing{};
    /// Programs that are gone, until a late renewal can't come any more.
    std::map<program_id, core_time> released;

    std::map<link_id, target_link> links;
    config_reply config;
    core_time next_config_request{};
    bool store_reachable = true;
    std::map<store_op_id, relayed_op> relays;
    store_op_id last_relay = 0;

    measured_rates rates;
    std::optional<engine_memory> memory;
    target_load reported;
    core_time last_report{};
    /// Programs whose held tokens have changed since the last report.
    std::set<program_id> cache_changes;

    bool leaving = false;
    std::optional<core_time> drain_until;
    bool stopped = false;

    void send(link_id link, peer_message message);
    void trace(event_id id, const call_ref& call = {}, std::vector<event_field> fields = {});

    /// @return the connection of the newest home of a call's shard; 0 if there is none
    [[nodiscard]] link_id home_of(const target_call& call) const;
};

/// @return an outcome that is only a failure
[[nodiscard]] call_outcome failed_outcome(problem_id id, ran_state ran, std::string detail);

/// @return whether a call cut short may have had an effect
[[nodiscard]] ran_state ran_when_cut(const target_call& call);

} // namespace masticcourse::detail

/// @file
/// The messages between the system's own processes. On the wire: a four byte big-endian length, then CBOR.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/store/store_op.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

enum class process_role : std::uint8_t
{
    entry,
    target,
};

/// Names one call of one program everywhere.
struct call_ref
{
    program_id program;
    call_key key;
    friend auto operator<=>(const call_ref&, const call_ref&) = default;
};

/// @name Any process to any other
/// @{

/// The first message on a connection, in both directions.
struct peer_hello
{
    process_role role = process_role::entry;
    process_name name;
    incarnation_id incarnation;
    /// Where the sender takes connections, "ip:port".
    std::string address;
    config_version config = 0;
};

/// Sent at a fixed period in both directions; silence means that the connection is dead.
struct peer_heartbeat
{
    std::uint64_t sequence = 0;
    config_version config = 0;
    /// Whether the sender's last operation on the platform's store was answered.
    bool store_reachable = true;
    /// The sender takes no new work.
    bool leaving = false;
};

struct config_request
{
    config_version newer_than = 0;
};

struct config_reply
{
    config_version version = 0;
    /// The whole document as JSON text.
    std::string document;
};
/// @}

/// @name Home to target process
/// @{

/// Runs a call. The target process accepts each (program, key) once, from the newest epoch that it has seen.
struct dispatch_call
{
    call_ref call;
    shard_index shard = 0;
    epoch_number epoch = 0;
    call_request request;
    workspace_id workspace;
    service_class priority = service_class::standard;
    /// The program's history as the model's prompt: each finished turn's input and output in order.
    std::vector<std::string> prompt;
    /// Tokens that the program has received so far (its attained service).
    token_count attained = 0;
    /// Time left, from the moment of sending.
    std::optional<std::chrono::milliseconds> remaining;
    program_id parent;
    /// The number of this call in the program's history, from 1.
    std::uint32_t turn_number = 0;
};

struct cancel_call
{
    call_ref call;
};

/// A new home took the shard: the receiver refuses older epochs from here on and answers with all the results
/// of this shard that it still keeps, which the new home adopts where they extend a history.
struct collect_shard
{
    shard_index shard = 0;
    epoch_number epoch = 0;
};

/// What became of this call? Asked by a home that can't know.
struct ask_call
{
    call_ref call;
    shard_index shard = 0;
    epoch_number epoch = 0;
};

/// The outcome is durable: the target process need not keep it.
struct outcome_durable
{
    call_ref call;
};

/// Keeps these programs' engine memory until the lease runs out; one that is not renewed is freed.
struct renew_programs
{
    std::vector<program_id> programs;
    std::chrono::milliseconds lease{};
};

/// The program is gone: cancel what runs and free its engine memory now.
struct release_program
{
    program_id program;
    shard_index shard = 0;
    epoch_number epoch = 0;
};
/// @}

/// @name Target process to home
/// @{

enum class refusal_reason : std::uint8_t
{
    leaving,
    stale_epoch,
    overloaded,
    duplicate,
    unknown_service,
    breaker_open,
};

/// The call did not run here and never will under this dispatch.
struct call_refused
{
    call_ref call;
    refusal_reason reason = refusal_reason::leaving;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Part of a streamed answer, in order of @a sequence (from 0).
struct call_tokens
{
    call_ref call;
    std::uint64_t sequence = 0;
    std::string text;
};

struct call_finished
{
    call_ref call;
    call_outcome outcome;
    /// How long the call waited at the target process, and how long it ran.
    std::chrono::microseconds queued{};
    std::chrono::microseconds ran{};
};

enum class call_knowledge : std::uint8_t
{
    /// The call is waiting or running; its result will come to the asker.
    in_progress,
    finished,
    /// This incarnation has never seen the call and from now on refuses it: "not run" is true.
    never_seen,
    /// The asker's epoch is older than one this process has seen.
    stale_epoch,
};

struct call_answer
{
    call_ref call;
    call_knowledge knowledge = call_knowledge::never_seen;
    call_outcome outcome;
};

/// A result whose durability the target process has not heard of.
struct kept_result
{
    call_ref call;
    std::uint32_t turn_number = 0;
    call_request request;
    call_outcome outcome;
};

/// The answer to `collect_shard`; calls that still run come later as `call_finished` to the new home.
struct kept_results
{
    shard_index shard = 0;
    epoch_number epoch = 0;
    std::vector<kept_result> results;
    std::vector<kept_result> in_progress;
};

/// The load of the target behind this process, sent at a fixed period and on change.
struct target_load
{
    service_name service;
    failure_domain_name failure_domain;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    /// Work waiting in front of a new call, in tokens to prefill and to decode.
    token_count queued_prefill = 0;
    token_count queued_decode = 0;
    token_count cache_capacity = 0;
    token_count cache_used = 0;
    /// Speeds as measured, tokens per second.
    double prefill_rate = 0;
    double decode_rate = 0;
    bool leaving = false;
};

/// Which prefixes the target's engine holds, as far as the target process knows.
struct cached_program
{
    program_id program;
    token_count tokens = 0;
};

struct target_cache
{
    std::vector<cached_program> held;
    std::vector<program_id> dropped;
};
/// @}

/// @name Entry to entry
/// @{

/// A caller's request that belongs to a program whose home is the receiver, as HTTP text.
struct forward_request
{
    std::uint64_t id = 0;
    std::string method;
    std::string path;
    std::string body;
    /// The headers that matter: `Idempotency-Key`, `Accept`, `Last-Event-ID`, `If-Match`.
    std::string key;
    std::optional<std::uint64_t> last_event;
    std::optional<config_version> if_match;
    bool stream = false;
    workspace_id workspace;
    /// It was sent to a home before that gave no answer, so nobody may say any more that it did not run.
    bool repeated = false;
};

/// The statuses of a forwarded answer that no caller gets to see.
/// @{
inline constexpr int forward_stream_ended = 0;
/// The receiver is not the program's home; nothing was done.
inline constexpr int forward_misdirected = 421;
/// @}

/// A whole answer, or the end of a streamed one.
struct forward_reply
{
    std::uint64_t id = 0;
    int status = 0;
    std::string body;
    std::optional<std::chrono::milliseconds> retry_after;
};

struct forward_event
{
    std::uint64_t id = 0;
    std::uint64_t event = 0;
    std::string name;
    std::string data;
};

/// Who owns which shards, for peers that can't read the store just now.
struct shard_owner
{
    shard_index shard = 0;
    epoch_number epoch = 0;
    incarnation_id owner;
    std::string address;
    friend bool operator==(const shard_owner&, const shard_owner&) = default;
};

struct shard_owners
{
    std::vector<shard_owner> owners;
};

/// Has the receiver lately heard from this incarnation? Asked before a silent owner's shards are taken.
struct liveness_ask
{
    incarnation_id incarnation;
};

struct liveness_answer
{
    incarnation_id incarnation;
    bool heard = false;
};

/// Runs an operation on the platform's store for a peer that can't reach it.
struct relay_store
{
    std::uint64_t id = 0;
    store_op operation;
};

struct relay_reply
{
    std::uint64_t id = 0;
    store_reply reply;
};
/// @}

using peer_message =
    std::variant<peer_hello, peer_heartbeat, config_request, config_reply, dispatch_call, cancel_call,
                 ask_call, outcome_durable, renew_programs, release_program, call_refused, call_tokens,
                 call_finished, call_answer, target_load, target_cache, forward_request, forward_reply,
                 forward_event, shard_owners, collect_shard, kept_results, liveness_ask, liveness_answer,
                 relay_store, relay_reply>;

/// @return the message as CBOR, without the length prefix
[[nodiscard]] std::string encode(const peer_message& message);

/// @return the message, or nothing if @a bytes is no valid one
[[nodiscard]] std::optional<peer_message> decode_message(const std::string& bytes);

} // namespace masticcourse

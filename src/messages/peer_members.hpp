/// @file
/// The wire form of the messages between processes.
#pragma once

#include "../codec/model_members.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "store_members.hpp"

namespace masticcourse
{

namespace codec
{

template <>
inline constexpr unsigned max_enum_value<process_role> = static_cast<unsigned>(process_role::target);
template <>
inline constexpr unsigned max_enum_value<refusal_reason> =
    static_cast<unsigned>(refusal_reason::breaker_open);
template <>
inline constexpr unsigned max_enum_value<call_knowledge> = static_cast<unsigned>(call_knowledge::stale_epoch);

/// A name never changes its meaning. The messages of the hot path have the shortest ones.
template <>
inline constexpr std::array<std::string_view, std::variant_size_v<peer_message>>
    alternative_names<peer_message>{"hello",   "beat",  "cfg?",    "cfg",     "call",   "cancel", "ask",
                                    "durable", "renew", "release", "no",      "t",      "f",      "know",
                                    "load",    "cache", "fwd",     "fwd_end", "fwd_ev", "owners", "collect",
                                    "kept",    "live?", "live",    "store",   "stored"};

} // namespace codec

template <codec::maybe_const<call_ref> T>
auto members(T& it)
{
    return std::tie(it.program, it.key);
}

template <codec::maybe_const<peer_hello> T>
auto members(T& it)
{
    return std::tie(it.role, it.name, it.incarnation, it.address, it.config);
}

template <codec::maybe_const<peer_heartbeat> T>
auto members(T& it)
{
    return std::tie(it.sequence, it.config, it.store_reachable, it.leaving);
}

template <codec::maybe_const<config_request> T>
auto members(T& it)
{
    return std::tie(it.newer_than);
}

template <codec::maybe_const<config_reply> T>
auto members(T& it)
{
    return std::tie(it.version, it.document);
}

template <codec::maybe_const<dispatch_call> T>
auto members(T& it)
{
    return std::tie(it.call, it.shard, it.epoch, it.request, it.workspace, it.priority, it.prompt,
                    it.attained, it.remaining, it.parent, it.turn_number);
}

template <codec::maybe_const<cancel_call> T>
auto members(T& it)
{
    return std::tie(it.call);
}

template <codec::maybe_const<ask_call> T>
auto members(T& it)
{
    return std::tie(it.call, it.shard, it.epoch);
}

template <codec::maybe_const<outcome_durable> T>
auto members(T& it)
{
    return std::tie(it.call);
}

template <codec::maybe_const<renew_programs> T>
auto members(T& it)
{
    return std::tie(it.programs, it.lease);
}

template <codec::maybe_const<release_program> T>
auto members(T& it)
{
    return std::tie(it.program, it.shard, it.epoch);
}

template <codec::maybe_const<call_refused> T>
auto members(T& it)
{
    return std::tie(it.call, it.reason, it.retry_after);
}

template <codec::maybe_const<call_tokens> T>
auto members(T& it)
{
    return std::tie(it.call, it.sequence, it.text);
}

template <codec::maybe_const<call_finished> T>
auto members(T& it)
{
    return std::tie(it.call, it.outcome, it.queued, it.ran);
}

template <codec::maybe_const<call_answer> T>
auto members(T& it)
{
    return std::tie(it.call, it.knowledge, it.outcome);
}

template <codec::maybe_const<target_load> T>
auto members(T& it)
{
    return std::tie(it.service, it.failure_domain, it.queued, it.running, it.queued_prefill, it.queued_decode,
                    it.cache_capacity, it.cache_used, it.prefill_rate, it.decode_rate, it.leaving);
}

template <codec::maybe_const<cached_program> T>
auto members(T& it)
{
    return std::tie(it.program, it.tokens);
}

template <codec::maybe_const<target_cache> T>
auto members(T& it)
{
    return std::tie(it.held, it.dropped);
}

template <codec::maybe_const<forward_request> T>
auto members(T& it)
{
    return std::tie(it.id, it.method, it.path, it.body, it.key, it.last_event, it.if_match, it.stream,
                    it.workspace, it.repeated);
}

template <codec::maybe_const<forward_reply> T>
auto members(T& it)
{
    return std::tie(it.id, it.status, it.body, it.retry_after);
}

template <codec::maybe_const<forward_event> T>
auto members(T& it)
{
    return std::tie(it.id, it.event, it.name, it.data);
}

template <codec::maybe_const<shard_owner> T>
auto members(T& it)
{
    return std::tie(it.shard, it.epoch, it.owner, it.address);
}

template <codec::maybe_const<shard_owners> T>
auto members(T& it)
{
    return std::tie(it.owners);
}

template <codec::maybe_const<collect_shard> T>
auto members(T& it)
{
    return std::tie(it.shard, it.epoch);
}

template <codec::maybe_const<kept_result> T>
auto members(T& it)
{
    return std::tie(it.call, it.turn_number, it.request, it.outcome);
}

template <codec::maybe_const<kept_results> T>
auto members(T& it)
{
    return std::tie(it.shard, it.epoch, it.results, it.in_progress);
}

template <codec::maybe_const<liveness_ask> T>
auto members(T& it)
{
    return std::tie(it.incarnation);
}

template <codec::maybe_const<liveness_answer> T>
auto members(T& it)
{
    return std::tie(it.incarnation, it.heard);
}

template <codec::maybe_const<relay_store> T>
auto members(T& it)
{
    return std::tie(it.id, it.operation);
}

template <codec::maybe_const<relay_reply> T>
auto members(T& it)
{
    return std::tie(it.id, it.reply);
}

} // namespace masticcourse

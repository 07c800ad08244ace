/// @file
/// The systems of the target core, in the files of their names.
#pragma once

#include "target_state.hpp"

namespace masticcourse::detail
{

/// @name target_gate.cpp: which calls are accepted, and what is known of them
/// @{

/// Notes an ownership of a shard.
/// @return whether it is the newest one seen; its link is the home's from then on
bool pass_fence(target_state& s, shard_index shard, epoch_number epoch, link_id link);

void take_dispatch(target_state& s, link_id link, dispatch_call message);
void take_ask(target_state& s, link_id link, const ask_call& message);
void take_collect(target_state& s, link_id link, const collect_shard& message);
/// @}

/// @name target_calls.cpp: from the queue through the target
/// @{

/// Hands waiting calls to the target as long as it has room.
void start_calls(target_state& s);
/// Ends calls whose deadlines have passed, waiting or running.
void expire_deadlines(target_state& s);
/// Gives up waiting for backends that do not confirm a cancel.
void expire_cancels(target_state& s);
void take_tokens(target_state& s, const engine_tokens& input);
void take_finished(target_state& s, const engine_finished& input);
void take_cancel(target_state& s, link_id link, const cancel_call& message);

/// Cancels a call. A running one that is not idempotent goes on: its result is worth more than its end.
void cancel(target_state& s, const call_ref& call);
/// @}

/// @name target_results.cpp: results until they are durable
/// @{

/// Ends a call: its result is kept and sent to the newest home.
void finish(target_state& s, const call_ref& call, call_outcome outcome);
/// Sends a home all that there is of a call: its result, or what has been streamed, from the beginning.
void send_again(target_state& s, link_id link, const target_call& call);
void take_durable(target_state& s, link_id link, const outcome_durable& message);
/// Forgets a call but for its name, so that it never runs again.
void settle(target_state& s, const call_ref& call, settlement how);
/// Forgets a call that does not run, and its result.
void drop_result(target_state& s, const call_ref& call);
/// Gives up results that no home has asked for in a long time.
void expire_results(target_state& s);
/// @}

/// @name target_leases.cpp: engine memory only for programs that someone renews
/// @{
void take_renewal(target_state& s, link_id link, const renew_programs& message);
void take_release(target_state& s, link_id link, const release_program& message);
/// Notes that a program has a call here.
void touch_program(target_state& s, const program_id& program, shard_index shard);
void set_held(target_state& s, const program_id& program, token_count tokens);
/// Frees what lapsed leases covered.
void expire_leases(target_state& s);
/// Compares the engine's full listing with the leases.
void take_listing(target_state& s, const engine_listing& input);
/// @}

/// @name target_peers.cpp: connections, heartbeats, configuration, help for peers
/// @{
void take_opened(target_state& s, link_id link);
void take_closed(target_state& s, link_id link);
void take_hello(target_state& s, link_id link, const peer_hello& message);
void take_heartbeat(target_state& s, link_id link, const peer_heartbeat& message);
void take_config_request(target_state& s, link_id link, const config_request& message);
void take_config(target_state& s, config_reply message);
void take_liveness(target_state& s, link_id link, const liveness_ask& message);
void take_relay(target_state& s, link_id link, relay_store message);
void take_store_done(target_state& s, store_done input);
/// Closes links that have gone silent.
void close_silent_links(target_state& s);
void send_heartbeats(target_state& s);
/// Allows for a pause of this process: what others sent meanwhile has not been read yet.
void allow_for_pause(target_state& s, core_duration pause);
/// @}

/// @name target_reports.cpp: load and cache as homes see them
/// @{
void measure(target_state& s, const target_call& call);
[[nodiscard]] target_load present_load(const target_state& s);
/// How long a call that is refused now should stay away.
[[nodiscard]] std::chrono::milliseconds time_to_come_back(const target_state& s);
void send_reports(target_state& s);
/// Tells a new peer all that is known.
void send_full_report(target_state& s, link_id link);
/// @}

/// @name target_drain.cpp: leaving
/// @{

/// Takes no new work from here on and hands back what waits.
void leave(target_state& s);
void take_stop(target_state& s);
/// Says when nothing is under way any more.
void finish_drain(target_state& s);
/// @}

} // namespace masticcourse::detail

/// @file
/// The systems of the entry core: free functions over its tables, one group for each file that holds their
/// bodies.
#pragma once

#include "entry_state.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::detail
{

/// How long the answer to an operation that went through a peer is waited for.
inline constexpr auto relay_patience = std::chrono::seconds{2};

/// @name Systems
/// They walk whole tables; entry_core.cpp says when.
/// @{
void run_membership(entry_state& state);
void run_store(entry_state& state);
void run_shards(entry_state& state);
void run_journal(entry_state& state);
void run_config(entry_state& state);
void run_calls(entry_state& state);
void run_forwards(entry_state& state);
void run_leases(entry_state& state);
void run_readiness(entry_state& state);
void run_stop(entry_state& state);
/// @}

/// @name Links and peers (entry_peers.cpp)
/// @{
void learn_processes(entry_state& state, const std::vector<known_process>& processes);
void on_link_opened(entry_state& state, link_id link);
void on_link_closed(entry_state& state, link_id link);
void on_peer_message(entry_state& state, link_id link, const peer_message& message);
void send(entry_state& state, link_id link, peer_message message);
/// Sends to a live process. @return false if it is not live
bool send_to(entry_state& state, const process_name& name, peer_message message);
[[nodiscard]] const peer_row* peer_of(const entry_state& state, link_id link);
/// @return whether an incarnation is connected and answers
[[nodiscard]] bool is_live(const entry_state& state, const incarnation_id& incarnation);
void close_all_links(entry_state& state);
/// @}

/// @name Shards (entry_shards.cpp, entry_takeover.cpp)
/// @{
void on_shard_owners(entry_state& state, const shard_owners& message);
void on_shard_list(entry_state& state, const store_reply& reply);
void on_kept_results(entry_state& state, const process_name& target, const kept_results& message);
void on_claim_reply(entry_state& state, shard_index shard, const store_reply& reply);
void on_update_reply(entry_state& state, shard_index shard, const store_reply& reply);
void on_liveness_answer(entry_state& state, const liveness_answer& answer);
void install_shard(entry_state& state, shard_index shard);
void begin_gathering(entry_state& state, shard_index shard);
void lose_shard(entry_state& state, shard_index shard, epoch_number epoch);
/// A successor sealed this process's journal: all is lost, and it starts over as a new incarnation.
void start_over(entry_state& state);
[[nodiscard]] shard_state& shard_for(entry_state& state, const program_id& program);
/// Gives a shard up whose records, and snapshots if it has any to hand over, are durable.
void finish_hand_over(entry_state& state, shard_index shard);
void tell_owner(entry_state& state, shard_index shard);
void tell_all_owned(entry_state& state, link_id link);
void announce_epochs(entry_state& state, const process_name& target);
/// @return whether an owner may be taken for dead
[[nodiscard]] bool is_dead(const entry_state& state, const incarnation_id& owner);
/// The name in an incarnation's id.
[[nodiscard]] process_name name_in(const incarnation_id& incarnation);
/// @return a new incarnation's id for the process
[[nodiscard]] incarnation_id make_incarnation(const process_name& name, std::uint64_t random);
[[nodiscard]] bool has_calls(const entry_state& state, shard_index shard);
/// @}

/// @name Journal and store (entry_journal.cpp, entry_store.cpp)
/// @{
journal_ticket append(entry_state& state, const program_id& program, journal_payload payload);
void when_durable(entry_state& state, journal_ticket ticket, durable_event event);
/// @return the caller who waits for an event, if it is one of those that callers wait for
[[nodiscard]] const reply_route* waiting_route(const durable_event& event);
void run_on_store(entry_state& state, store_op operation, const store_purpose& purpose);
void on_store_done(entry_state& state, const store_done& done);
void on_relay_reply(entry_state& state, const relay_reply& message);
/// @return whether records wait so long that nothing that must be durable first can start
[[nodiscard]] bool journal_is_stalled(const entry_state& state);
/// What stands against new work now; `none` if nothing does.
[[nodiscard]] problem obstacle(const entry_state& state);
/// @return whether a reply may go out before its record is durable
[[nodiscard]] bool may_reply_pending(const entry_state& state);
/// @}

/// @name Programs (entry_programs.cpp)
/// @{
void handle_create(entry_state& state, const reply_route& route, const workspace_id& workspace,
                   const create_program& request);
void handle_history(entry_state& state, const reply_route& route, const workspace_id& workspace,
                    const program_id& program);
void handle_end(entry_state& state, const reply_route& route, const workspace_id& workspace,
                const program_id& program);
void handle_list(entry_state& state, const reply_route& route);
void handle_status(entry_state& state, const reply_route& route);
void on_creation_durable(entry_state& state, const creation_durable& event);
void on_end_durable(entry_state& state, const end_is_durable& event);
[[nodiscard]] entry_counts counts_of(const entry_state& state);
/// The program whose shard decides where a creation is handled; empty if any entry can.
[[nodiscard]] program_id home_of_creation(const workspace_id& workspace, const create_program& request);
[[nodiscard]] program_id root_of(const program_id& program);
/// @return the program if it exists and belongs to the workspace
[[nodiscard]] const program_state* find_program(const entry_state& state, const workspace_id& workspace,
                                                const program_id& program);
/// What a caller is told of a program that does not exist, or is another workspace's.
[[nodiscard]] problem unknown_program_problem();
void install_program(entry_state& state, const program_state& program);
void forget_program(entry_state& state, const program_id& program);
/// @}

/// @name Calls (entry_calls.cpp, entry_dispatch.cpp, entry_outcomes.cpp)
/// @{
void handle_call(entry_state& state, const reply_route& route, const forward_request& raw,
                 const submit_call& request);
void handle_get_call(entry_state& state, const reply_route& route, const forward_request& raw,
                     const get_call& request);
void start_next(entry_state& state, const program_id& program);
void begin_call(entry_state& state, call_row& call);
/// Sets the worst case of the call aside.
/// @return whether the call can go on now; if not, it waits for escrow or has been refused
bool reserve_budget(entry_state& state, call_row& call);
/// Makes more of a tree's budget durable as escrow, if a call of @a cost would need it.
void request_escrow(entry_state& state, const program_id& root, token_count cost);
void route_call(entry_state& state, call_row& call);
/// @return a refusal if the call's service has more work than can be finished in time
[[nodiscard]] problem overload_refusal(const entry_state& state, const call_row& call);
void send_dispatch(entry_state& state, call_row& call);
void leave_target(entry_state& state, call_row& call);
/// An intended call is known not to have run under its intent.
void withdraw(entry_state& state, call_row& call);
/// @return whether a successor may read an intent of the call without its withdrawal: it would take the call
/// for one that may have run
[[nodiscard]] bool may_outlive_withdrawal(const entry_state& state, const call_row& call);
/// Tells the callers of a withdrawn call that it did not run once that is durable; until then, if it takes
/// long, that its outcome is open.
void run_withdrawal(entry_state& state, call_row& call);
/// Ends the call with an outcome that becomes a turn of the history.
void finish_with_turn(entry_state& state, call_row& call, call_outcome outcome);
/// Ends the call with a failure that is no turn: it did not run, or may be run again.
void finish_without_turn(entry_state& state, const call_ref& ref, const problem& failure);
/// Tries another target, or fails the call with @a failure.
void retry_or_fail(entry_state& state, call_row& call, const problem& failure);
void on_call_refused(entry_state& state, const process_name& target, const call_refused& message);
void on_call_tokens(entry_state& state, const process_name& target, const call_tokens& message);
void on_call_finished(entry_state& state, const process_name& target, const call_finished& message);
void on_call_answer(entry_state& state, const process_name& target, const call_answer& message);
void on_target_lost(entry_state& state, const process_name& target);
void on_target_back(entry_state& state, const process_name& target, bool same_incarnation);
/// The connection to the call's target process stands again.
void resume_at(entry_state& state, call_row& call, bool same_incarnation);
/// The target process that had the call is gone, and what it knew with it.
void target_forgot(entry_state& state, call_row& call);
/// A non-idempotent call may have run, and nobody can tell: it is never run again.
void outcome_is_unknown(entry_state& state, call_row& call, const std::string& reason);
/// A target came back empty: no prefix is there any more.
void forget_target_memory(entry_state& state, const process_name& target);
void on_turn_durable(entry_state& state, const call_ref& ref);
/// The home of this call is no longer here: its waiters are told, nothing is decided about it.
void abandon_call(entry_state& state, const call_ref& ref);
/// Tells those who wait for records that can't become durable here any more.
void fail_awaiting(entry_state& state);
/// @return the call's row if a target process speaks of a call that is there now
[[nodiscard]] call_row* call_at(entry_state& state, const call_ref& ref, const process_name& target);
[[nodiscard]] token_count prompt_tokens(const entry_state& state, const call_row& call);
void on_intent_durable(entry_state& state, const intent_is_durable& event);
void on_escrow_durable(entry_state& state, const escrow_is_durable& event);
void remove_waiters(entry_state& state, request_id id);
/// @}

/// @name Replies (entry_replies.cpp)
/// @{
void reply(entry_state& state, const reply_route& route, int status, std::string body,
           std::optional<config_version> etag = std::nullopt,
           std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
void reply_problem(entry_state& state, const reply_route& route, const problem& failure);
/// Sends a waiter what it lacks of a streamed answer.
void stream_to(entry_state& state, waiter& waiter, const std::string& answer);
/// Sends a waiter the final outcome, whole or as the last event.
void deliver(entry_state& state, waiter& waiter, std::uint32_t turn_number, const call_key& key,
             const call_outcome& outcome, bool durable);
/// Sends a waiter the failure of a call that is no turn.
void deliver_problem(entry_state& state, waiter& waiter, const problem& failure);
[[nodiscard]] waiter make_waiter(const reply_route& route, const forward_request& raw);
/// @}

/// @name Requests (entry_requests.cpp)
/// @{
void handle_request(entry_state& state, const reply_route& route, const forward_request& raw);
void on_forward_reply(entry_state& state, link_id link, const forward_reply& message);
void on_forward_event(entry_state& state, link_id link, const forward_event& message);
void forget_caller(entry_state& state, request_id id);
/// @}

/// @name Configuration (entry_config.cpp)
/// @{
void handle_get_config(entry_state& state, const reply_route& route);
void handle_patch_config(entry_state& state, const reply_route& route, const patch_config& request);
void on_patch_reply(entry_state& state, std::uint64_t patch, const store_reply& reply);
/// @}

} // namespace masticcourse::detail

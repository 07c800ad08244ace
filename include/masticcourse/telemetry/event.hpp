/// @file
/// Catalogue of numbered events. Numbers are stable: they are never reused or redefined. docs/EVENTS.md is
/// generated from this catalogue.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticcourse
{

/// Event numbers by range: 1xxx process and settings, 2xxx callers and programs, 3xxx journal, shards and
/// store, 4xxx peers and membership, 5xxx targets and engines, 6xxx configuration, 7xxx decisions.
enum class event_id : std::uint16_t
{
    process_started = 1001,
    process_ready = 1002,
    process_draining = 1003,
    process_stopped = 1004,
    drain_timed_out = 1005,
    process_paused = 1008,
    settings_reloaded = 1009,
    settings_invalid = 1010,
    log_lines_dropped = 1011,
    event_loop_delayed = 1012,
    program_created = 2001,
    program_ended = 2002,
    call_accepted = 2101,
    call_dispatched = 2102,
    call_first_token = 2103,
    call_finished = 2104,
    call_committed = 2105,
    call_refused = 2106,
    call_repeated = 2107,
    call_cancelled = 2108,
    call_deadline_passed = 2109,
    call_outcome_unknown = 2110,
    call_adopted = 2111,
    budget_refused = 2201,
    loop_stopped = 2202,
    request_answered = 2301,
    request_failed = 2302,
    request_refused = 2303,
    attempt_failed = 2304,
    overdraft_drawn = 2305,
    target_ended = 2306,
    turn_over_budget = 2307,
    turn_recovered = 2308,
    turn_charged = 2309,
    overdraft_settled = 2310,
    shard_claimed = 3001,
    shard_released = 3002,
    shard_lost = 3003,
    takeover_deferred = 3004,
    recovery_finished = 3005,
    journal_sealed = 3103,
    journal_damaged = 3104,
    checkpoint_written = 3105,
    store_away = 3201,
    store_back = 3202,
    store_relayed = 3203,
    registry_read = 3204,
    buckets_changed = 3205,
    buckets_lost = 3206,
    peer_up = 4001,
    peer_lost = 4002,
    peer_silent = 4003,
    peer_restarted = 4004,
    collector_failed = 4005,
    quota_holder_failed = 4006,
    feed_source_failed = 4007,
    load_collector_failed = 4008,
    feed_source_changed = 4009,
    table_late = 4010,
    table_read = 4011,
    table_currency_changed = 4012,
    change_rejected = 4013,
    target_available = 5001,
    target_lost = 5003,
    target_fence_raised = 5004,
    stale_order_refused = 5005,
    target_ejected = 5006,
    target_readmitted = 5007,
    engine_reconciled = 5103,
    lease_lapsed = 5105,
    orphan_freed = 5106,
    call_started = 5107,
    call_ended = 5108,
    call_queued = 5109,
    config_applied = 6001,
    config_accepted = 6002,
    config_rejected = 6003,
    config_conflict = 6004,
    config_invalid = 6006,
    call_retried = 7003,
    overload_refused = 7006,
    request_held_back = 7007,
};

enum class event_severity : std::uint8_t
{
    info,
    warning,
    error,
};

/// Catalogue entry of an event.
struct event_definition
{
    event_id id{};
    std::string_view name;
    event_severity severity = event_severity::info;
    std::string_view meaning;
    /// Recommended operator action.
    std::string_view action;
};

/// Key-value pair attached to an event.
struct event_field
{
    std::string key;
    std::string value;
    friend bool operator==(const event_field&, const event_field&) = default;
};

/// All events, sorted by number.
inline constexpr std::array event_catalogue{
    event_definition{event_id::process_started, "process_started", event_severity::info, "A process started.",
                     "None."},
    event_definition{event_id::process_ready, "process_ready", event_severity::info,
                     "The process takes work.", "None."},
    event_definition{event_id::process_draining, "process_draining", event_severity::info,
                     "A graceful shutdown began: no new work, work in progress goes on.",
                     "Wait for process_stopped before replacing the VM."},
    event_definition{event_id::process_stopped, "process_stopped", event_severity::info,
                     "The process ended in good order.", "None."},
    event_definition{event_id::drain_timed_out, "drain_timed_out", event_severity::warning,
                     "Work was still in progress when the longest drain time had passed.",
                     "See which calls were left; raise limits.drain_wait if they are ordinary."},
    event_definition{event_id::process_paused, "process_paused", event_severity::warning,
                     "The control thread did not run for longer than a lease may bear.",
                     "Look for an overcommitted or migrated VM."},
    event_definition{event_id::settings_reloaded, "settings_reloaded", event_severity::info,
                     "The settings file was read again.", "None; see the fields for what changed."},
    event_definition{event_id::settings_invalid, "settings_invalid", event_severity::error,
                     "The settings file changed and can't be used; the settings before stay in force.",
                     "Mend the key that the fields name."},
    event_definition{
        event_id::log_lines_dropped, "log_lines_dropped", event_severity::warning,
        "Lines were left out: too many of one kind in a second, or the reader of the log was too slow.",
        "See the counters for what the lines would have said."},
    event_definition{event_id::event_loop_delayed, "event_loop_delayed", event_severity::warning,
                     "The event loop got to a timer late (`late_ms`), or callers wait for it (`traffic_ms`): "
                     "the process has more to do than its share "
                     "of the processor allows, or did not run. At most one line a second.",
                     "Give the VM a larger share, or spread its callers, if it recurs."},
    event_definition{event_id::program_created, "program_created", event_severity::info,
                     "A program was created.", "None."},
    event_definition{event_id::program_ended, "program_ended", event_severity::info,
                     "A program ended and its memory is released.", "None."},
    event_definition{event_id::call_accepted, "call_accepted", event_severity::info,
                     "A call of a program was accepted.", "None."},
    event_definition{event_id::call_dispatched, "call_dispatched", event_severity::info,
                     "A call was sent to a target process.", "None."},
    event_definition{event_id::call_first_token, "call_first_token", event_severity::info,
                     "The first token of a streamed answer arrived.", "None."},
    event_definition{event_id::call_finished, "call_finished", event_severity::info,
                     "A call's outcome is known to its home.", "None."},
    event_definition{event_id::call_committed, "call_committed", event_severity::info,
                     "A call's turn is durable.", "None."},
    event_definition{event_id::call_refused, "call_refused", event_severity::info,
                     "A call was refused before it ran.",
                     "None for single ones; see the reason where they pile up."},
    event_definition{event_id::call_repeated, "call_repeated", event_severity::info,
                     "A call's key came again; the same outcome is given, nothing runs twice.", "None."},
    event_definition{event_id::call_cancelled, "call_cancelled", event_severity::info,
                     "A call was cancelled.", "None."},
    event_definition{event_id::call_deadline_passed, "call_deadline_passed", event_severity::warning,
                     "A call's deadline passed.",
                     "See the target's load and the service's default deadline."},
    event_definition{
        event_id::call_outcome_unknown, "call_outcome_unknown", event_severity::error,
        "A non-idempotent call may have run, and nobody can tell any more; it is never run again.",
        "Follow docs/operators/unknown-outcomes.md."},
    event_definition{event_id::call_adopted, "call_adopted", event_severity::info,
                     "A result kept by a target process was taken into the history.", "None."},
    event_definition{event_id::budget_refused, "budget_refused", event_severity::info,
                     "A call would have gone over the program's budget.",
                     "Raise the workspace's max_budget if the programs are in order."},
    event_definition{event_id::loop_stopped, "loop_stopped", event_severity::warning,
                     "A program reached the turn limit or repeated one call without end.",
                     "Look at the program's history; its author has to mend it."},
    event_definition{event_id::request_answered, "request_answered", event_severity::info,
                     "The gateway handed out the whole answer to a request.", "None."},
    event_definition{event_id::request_failed, "request_failed", event_severity::info,
                     "A request ended at the gateway without a whole answer of a target; the fields say why.",
                     "Follow docs/OPERATIONS.md from the request's id."},
    event_definition{event_id::request_refused, "request_refused", event_severity::info,
                     "The gateway refused a request before it chose a route.", "See the reason."},
    event_definition{
        event_id::attempt_failed, "attempt_failed", event_severity::info,
        "One target did not serve a request; whether another one is tried shows in the next line of its id.",
        "See the target's other lines if they pile up."},
    event_definition{
        event_id::overdraft_drawn, "overdraft_drawn", event_severity::info,
        "A request asked to hand out tokens before its reservation is durable; `granted` of `most` may be.",
        "None; 0 while the store is away means that the program's bucket has no live holder, or that it "
        "has had its overdraft."},
    event_definition{event_id::target_ended, "target_ended", event_severity::warning,
                     "A target ended while it handled a request; `ends` counts those that did so one after "
                     "another under requests "
                     "of the same `content`, which are refused for `quarantine_ms`.",
                     "With 3 ends or more: find the caller by `workspace`, `route` and `request`, and the "
                     "fault in the target."},
    event_definition{
        event_id::turn_over_budget, "turn_over_budget", event_severity::info,
        "A program's budget does not cover a turn; the fields say what the program's row held (`spent`, and "
        "`reserved` by running turns), its `version`, and where the row was read (`row`).",
        "None, unless turns named in `reserved` have ended: follow their ids."},
    event_definition{
        event_id::turn_recovered, "turn_recovered", event_severity::info,
        "A turn that another gateway served has ended, but its reservation was still in the program's row; "
        "this gateway settles it from the stored turn.",
        "Single ones follow the end or a pause of a gateway; otherwise look for one that can't write."},
    event_definition{
        event_id::turn_charged, "turn_charged", event_severity::info,
        "The `tokens` that a turn handed out on an overdraft stand in its program's row, which then holds "
        "`spent` and `reserved` of the `budget`; the `excess` lies beyond the budget.",
        "None; the excess stays outstanding at the holder of the program's bucket (E2310)."},
    event_definition{
        event_id::overdraft_settled, "overdraft_settled", event_severity::info,
        "The holder of a program's bucket was told what stays `outstanding` of a turn's overdraft; `program_"
        "outstanding` and `limit` are those of its program.",
        "None; with E2305 and E2309 of the same request they tell who handed out what of a program."},
    event_definition{event_id::shard_claimed, "shard_claimed", event_severity::info,
                     "This process took a shard; its epoch rose.", "None."},
    event_definition{event_id::shard_released, "shard_released", event_severity::info,
                     "This process gave a shard up.", "None."},
    event_definition{event_id::shard_lost, "shard_lost", event_severity::warning,
                     "Another process took a shard while this one held it.",
                     "Expected after a long pause; otherwise look at its VM."},
    event_definition{event_id::takeover_deferred, "takeover_deferred", event_severity::info,
                     "A shard's owner is silent, but after an outage it has one lease to renew.", "None."},
    event_definition{event_id::recovery_finished, "recovery_finished", event_severity::info,
                     "A shard's programs are read back from the journal.", "None."},
    event_definition{event_id::journal_sealed, "journal_sealed", event_severity::warning,
                     "This process's journal was sealed by a successor; it writes no more.",
                     "Expected when the process was paused or cut off."},
    event_definition{event_id::journal_damaged, "journal_damaged", event_severity::error,
                     "A journal entry can't be read.",
                     "Keep the object, report it; the programs in it are not served from guesses."},
    event_definition{event_id::checkpoint_written, "checkpoint_written", event_severity::info,
                     "A checkpoint bounds what recovery has to read.", "None."},
    event_definition{event_id::store_away, "store_away", event_severity::warning,
                     "The platform's store does not answer.",
                     "Tell the platform's operators; turns go on within the bound."},
    event_definition{event_id::store_back, "store_back", event_severity::info,
                     "The platform's store answers again.", "None."},
    event_definition{event_id::store_relayed, "store_relayed", event_severity::warning,
                     "This process can't reach the store and appends through a peer.",
                     "Look at the network between this VM and the store."},
    event_definition{
        event_id::registry_read, "registry_read", event_severity::info,
        "The registry of targets was read whole: at the start, or because the store dropped its history.",
        "None."},
    event_definition{
        event_id::buckets_changed, "buckets_changed", event_severity::info,
        "This gateway took buckets of a `table`, or gave them up: those `held` are its own to give out from, "
        "overdrafts of programs or portions of quotas.",
        "None."},
    event_definition{event_id::buckets_lost, "buckets_lost", event_severity::warning,
                     "A later process with this gateway's address, `successor`, is in the row of a `table`'s "
                     "buckets: this one uses none any more and takes none again.",
                     "End this process, if it is still running: its successor serves in its place."},
    event_definition{event_id::peer_up, "peer_up", event_severity::info, "A connection to a peer is up.",
                     "None."},
    event_definition{event_id::peer_lost, "peer_lost", event_severity::info, "A connection to a peer closed.",
                     "None, unless they pile up."},
    event_definition{event_id::peer_silent, "peer_silent", event_severity::warning,
                     "A connection went silent and is replaced by a new one.",
                     "Look for a middlebox that forgets connections."},
    event_definition{event_id::peer_restarted, "peer_restarted", event_severity::info,
                     "A peer came back with a new incarnation.", "None."},
    event_definition{
        event_id::collector_failed, "collector_failed", event_severity::warning,
        "The gateway that collects a partition's commits did not answer, or lacks the store (`why`); its "
        "sender turns to the next in rank and leaves it out for a while.",
        "Look at that gateway if it recurs."},
    event_definition{
        event_id::quota_holder_failed, "quota_holder_failed", event_severity::warning,
        "The gateway that holds a slice of a workspace's quota did not answer, or holds it no more (`why`); "
        "the other slices are asked meanwhile.",
        "Look at that gateway if it recurs."},
    event_definition{event_id::feed_source_failed, "feed_source_failed", event_severity::warning,
                     "The gateway through which this one follows a table did not answer, or what it knows is "
                     "out of date (`why`); "
                     "another one or the store is followed meanwhile.",
                     "Look at that gateway if it recurs."},
    event_definition{
        event_id::load_collector_failed, "load_collector_failed", event_severity::warning,
        "The gateway that adds up the load of targets did not answer, or another one has taken its place "
        "(`why`); views of the load are incomplete for one interval.",
        "Look at that gateway if it recurs."},
    event_definition{event_id::feed_source_changed, "feed_source_changed", event_severity::info,
                     "This gateway follows a table through another gateway from now on, or in the store "
                     "(`source`). `age_ms` is the age of what it knows, `sources` the number of gateways "
                     "that it may follow, `gateways` the number in its list.",
                     "None. The age of a table stays below two seconds while the store can be reached."},
    event_definition{
        event_id::table_late, "table_late", event_severity::warning,
        "Nothing confirmed a followed table in time through its `source`, or a request waits for "
        "it (`why`): the store is read meanwhile.",
        "Look at the gateway that is the source, and at the network to the store, if it recurs."},
    event_definition{event_id::table_read, "table_read", event_severity::info,
                     "A read of a late table in the store ended (`outcome`), after `took_ms` in all and "
                     "`attended_ms` in which this process could have noticed a reply.",
                     "Failed reads while other gateways succeed: look at this VM's processor and network."},
    event_definition{
        event_id::table_currency_changed, "table_currency_changed", event_severity::info,
        "Whether requests are decided by the followed tables has changed (`from`, `to`), `evidence` says why "
        "the store counts as away.",
        "`store_away` at one gateway alone while others reach the store: look at that gateway."},
    event_definition{
        event_id::change_rejected, "change_rejected", event_severity::warning,
        "The store never takes a change of `rows` rows and `bytes` bytes, the first of which is "
        "`row`: it is too large, or malformed. The turn, or the reservation, behind it fails.",
        "Compare the store's limits with `store.row_bytes`, and look at the request whose id the "
        "row bears."},
    event_definition{event_id::target_available, "target_available", event_severity::info,
                     "A target takes work.", "None."},
    event_definition{event_id::target_lost, "target_lost", event_severity::warning,
                     "A target process or its VM is gone.", "None; the platform replaces VMs."},
    event_definition{event_id::target_fence_raised, "target_fence_raised", event_severity::info,
                     "A target process saw a newer epoch of a shard.", "None."},
    event_definition{event_id::stale_order_refused, "stale_order_refused", event_severity::warning,
                     "A target process refused an order of an older epoch.",
                     "Expected once after a takeover."},
    event_definition{
        event_id::target_ejected, "target_ejected", event_severity::warning,
        "A target fails more requests than its peers, or takes far longer (`why`): requests avoid it "
        "for `period_ms`, then single ones probe it.",
        "Look at that target if it recurs."},
    event_definition{event_id::target_readmitted, "target_readmitted", event_severity::info,
                     "A target that was ejected works again and gets requests like its peers.", "None."},
    event_definition{event_id::engine_reconciled, "engine_reconciled", event_severity::info,
                     "The engine's full listing was compared with what was known.", "None."},
    event_definition{event_id::lease_lapsed, "lease_lapsed", event_severity::info,
                     "A program's lease lapsed: its streams are cancelled and its cache is freed.", "None."},
    event_definition{event_id::orphan_freed, "orphan_freed", event_severity::warning,
                     "The engine held memory for a program that is gone; it was freed.",
                     "Report it if it recurs."},
    event_definition{event_id::call_started, "call_started", event_severity::info,
                     "A target process gave a call to its backend.", "None."},
    event_definition{event_id::call_ended, "call_ended", event_severity::info, "The backend finished a call.",
                     "None."},
    event_definition{event_id::call_queued, "call_queued", event_severity::info,
                     "A call waits at a target process.", "None."},
    event_definition{event_id::config_applied, "config_applied", event_severity::info,
                     "A configuration version is in force in this process.", "None."},
    event_definition{event_id::config_accepted, "config_accepted", event_severity::info,
                     "A patch was accepted as a new version.", "None."},
    event_definition{event_id::config_rejected, "config_rejected", event_severity::info,
                     "A patch was refused for its content.", "Mend what the answer lists."},
    event_definition{event_id::config_conflict, "config_conflict", event_severity::info,
                     "A patch named a version that is no longer in force.",
                     "Read the version in force and patch again."},
    event_definition{
        event_id::config_invalid, "config_invalid", event_severity::error,
        "A stored row can't be read: of a configuration, the version in force stands; an entry of a "
        "target names none to use until it changes.",
        "Report it with `key` and `why`; of a configuration, patch to a valid version."},
    event_definition{event_id::call_retried, "call_retried", event_severity::info,
                     "An idempotent or provably unrun call goes to another target.", "None."},
    event_definition{event_id::overload_refused, "overload_refused", event_severity::warning,
                     "Work was refused at the edge, with a time to come back.", "Add targets if it lasts."},
    event_definition{event_id::request_held_back, "request_held_back", event_severity::info,
                     "A request waits at the gateway because its service is short of room: `free` of `slots` "
                     "requests could be taken, `waiting` here and `others_waiting` elsewhere.",
                     "Add targets if it lasts."},
};

/// @return the catalogue entry, or nullptr if the number is unknown
[[nodiscard]] const event_definition* find_event(event_id id);

[[nodiscard]] std::string_view to_string(event_severity severity);

/// @return the catalogue as Markdown, identical to docs/EVENTS.md
[[nodiscard]] std::string event_reference();

} // namespace masticcourse

/// @file
/// The control core of the process beside a target, the sole door to it: order, at most one run of each call,
/// results until they are durable, leases on engine memory, load. A state machine without I/O: it is told the
/// time and what came in, and says what to do. The daemon does it; tests run it in virtual time.
#pragma once

#include "masticcourse/control/peer_io.hpp"
#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// What a target process is told once, at its start.
struct target_options
{
    process_name name;
    incarnation_id incarnation;
    /// Where this process takes connections of others, "ip:port".
    std::string address;
    region_name region;
    failure_domain_name domain;
    service_name service;
    call_kind kind = call_kind::model;
    /// Whether the target itself refuses an older order number. If not, this process is the only gate.
    bool target_checks_fencing = false;
    /// Most calls at the target at once.
    std::uint32_t max_running = 16;
    /// The engine's memory in tokens; 0 for plain services.
    token_count cache_capacity = 0;
    queue_order order;
    /// Most calls that wait here.
    std::size_t max_queue = 256;

    core_duration heartbeat_period = std::chrono::milliseconds{250};
    core_duration peer_timeout = std::chrono::milliseconds{1500};
    /// The shortest time between two load reports, and the longest.
    core_duration report_period = std::chrono::milliseconds{200};
    core_duration idle_report_period = std::chrono::seconds{1};
    /// How long a program's memory is kept before its home first renews it.
    core_duration first_lease = std::chrono::seconds{10};
    /// How often the engine's full listing is compared with the leases.
    core_duration listing_period = std::chrono::seconds{5};
    /// How long the backend may take to say that a cancelled call has ended.
    core_duration cancel_grace = std::chrono::seconds{2};
    /// How long a drain waits for calls and for their results to become durable.
    core_duration drain_timeout = std::chrono::seconds{60};

    /// Calls known and not yet durable; at these limits new ones are refused, results are never dropped.
    std::size_t kept_result_limit = 4096;
    std::size_t kept_bytes_limit = std::size_t{32} << 20U;
    /// How long a result is kept for a home that does not come.
    core_duration kept_result_time = std::chrono::hours{1};
    /// Settled calls remembered so that they never run again, and how long they are remembered at least.
    std::size_t settled_limit = 200'000;
    core_duration settled_time = std::chrono::minutes{10};
};

/// @name Inputs
/// @{

/// A part of a running call's answer.
struct engine_tokens
{
    call_ref call;
    /// From 0, without gaps.
    std::uint64_t sequence = 0;
    std::string text;
};

/// A call has ended at the target. Comes exactly once for each `engine_start`, also after `engine_cancel`.
struct engine_finished
{
    call_ref call;
    call_outcome outcome;
};

/// The engine's full listing, the answer to `engine_list_request`.
struct engine_listing
{
    std::vector<cached_program> programs;
};

/// The engine's own report of its memory; it lags.
struct engine_memory
{
    token_count used = 0;
    token_count capacity = 0;
};

/// The platform's list says that this VM leaves.
struct marked_leaving
{
};
/// @}

using target_input =
    std::variant<peer_opened, peer_closed, peer_received, store_done, engine_tokens, engine_finished,
                 engine_listing, engine_memory, marked_leaving, stop_requested>;

/// @name Outputs
/// @{

/// Runs a call at the target.
struct engine_start
{
    call_ref call;
    call_request request;
    /// The whole prompt, the call's own input last (model calls).
    std::vector<std::string> prompt;
    /// The fencing number that goes with the order.
    epoch_number order = 0;
};

struct engine_cancel
{
    call_ref call;
};

/// Frees the engine memory of a program.
struct engine_free
{
    program_id program;
};

/// Asks the engine for its full listing.
struct engine_list_request
{
};
/// @}

using target_output = std::variant<send_peer, close_peer, run_store_op, engine_start, engine_cancel,
                                   engine_free, engine_list_request, trace_event, ready_to_stop>;

/// Counts that a process publishes and tests check.
struct target_counts
{
    std::size_t queued = 0;
    std::size_t running = 0;
    /// Results that are not durable yet.
    std::size_t kept = 0;
    std::size_t kept_bytes = 0;
    std::size_t programs = 0;
    std::size_t links = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t leases_lapsed = 0;
    std::uint64_t orphans_freed = 0;
    bool leaving = false;
};

namespace detail
{
struct target_state;
} // namespace detail

/// The control core of a target process.
class target_core
{
  public:
    explicit target_core(target_options options);
    ~target_core();
    target_core(target_core&&) noexcept;
    target_core& operator=(target_core&&) noexcept;
    target_core(const target_core&) = delete;
    target_core& operator=(const target_core&) = delete;

    /// Takes in what has happened and runs all systems once.
    /// @param inputs what came in since the last step, in order
    /// @param now    the time; never less than before
    /// @return what the process has to do, in order
    [[nodiscard]] std::vector<target_output> step(std::span<const target_input> inputs, core_time now);

    /// @return when to step again at the latest if nothing comes in
    [[nodiscard]] core_time next_wakeup() const;

    [[nodiscard]] target_counts counts() const;

    /// The load as last reported to the homes.
    [[nodiscard]] target_load load() const;

    /// The newest configuration that this process has heard of.
    [[nodiscard]] config_reply config() const;

  private:
    std::unique_ptr<detail::target_state> m_state;
};

} // namespace masticcourse

/// @file
/// The control core of an entry process: home of a share of the programs. A state machine without I/O: it is
/// told the time, what came in, and says what to do. The daemon does it; tests run it in virtual time.
#pragma once

#include "masticcourse/control/peer_io.hpp"
#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/overload.hpp"
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/store/store_op.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace masticcourse
{

/// Names a caller's request between the core and the process around it.
using request_id = std::uint64_t;

/// A process that settings or the platform's list name. Only a hint: it is live when it answers heartbeats.
struct known_process
{
    process_role role = process_role::entry;
    process_name name;
    std::string address;
    service_name service;
    failure_domain_name failure_domain;
    bool leaving = false;
};

/// What an entry process is told once, at its start.
struct entry_options
{
    process_name name;
    incarnation_id incarnation;
    std::string peer_address;
    region_name region;
    failure_domain_name failure_domain;
    /// Feeds the random numbers of the core (program ids, jitter).
    std::uint64_t seed = 0;
    shard_index shards = 64;
    std::vector<known_process> processes;
    /// The configuration that the first entry of a new deployment writes.
    std::string initial_config;

    core_duration heartbeat_period = std::chrono::milliseconds{250};
    core_duration peer_timeout = std::chrono::milliseconds{1500};
    /// How long an owner must be silent before its shards are taken.
    core_duration takeover_delay = std::chrono::milliseconds{2500};
    core_duration program_lease = std::chrono::seconds{10};
    core_duration journal_gap = std::chrono::milliseconds{10};
    std::size_t max_entry_bytes = std::size_t{4} << 20U;
    /// How long a finished turn's reply waits for its record to be durable before it says `pending`.
    core_duration durability_wait = std::chrono::milliseconds{300};
    /// How old the oldest record may get before new calls are refused.
    core_duration max_tail_age = std::chrono::seconds{60};
    core_duration default_deadline = std::chrono::seconds{60};
    core_duration longest_deadline = std::chrono::minutes{30};
    /// How long a target may be unreachable before its idempotent calls go elsewhere.
    core_duration target_patience = std::chrono::seconds{2};
    /// How long an idle program's engine memory is kept.
    core_duration idle_limit = std::chrono::minutes{10};
    /// How long a request waits for its program's home to be found again.
    core_duration forward_patience = std::chrono::seconds{8};
    placement_options placement;
    overload_options overload;
    token_count escrow_chunk = 20'000;
    std::size_t max_waiting_calls = 16;
    /// Records of a shard after which its programs are written as snapshots.
    std::size_t checkpoint_records = 512;
};

/// @name Inputs
/// @{

/// A caller's request, already authenticated.
struct caller_request
{
    request_id id = 0;
    forward_request raw;
};

/// The caller of a request has gone away.
struct caller_gone
{
    request_id id = 0;
};

/// The platform's list of VMs as it was last read.
struct processes_listed
{
    std::vector<known_process> processes;
};

/// @}

using entry_input = std::variant<caller_request, caller_gone, store_done, peer_opened, peer_closed,
                                 peer_received, processes_listed, stop_requested>;

/// @name Outputs
/// @{

/// The whole answer to a request.
struct caller_reply
{
    request_id id = 0;
    int status = 200;
    std::string body;
    /// The configuration's version, where the answer is about it.
    std::optional<config_version> etag;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// One event of a streamed answer.
struct caller_event
{
    request_id id = 0;
    std::uint64_t event = 0;
    std::string name;
    std::string data;
};

/// The end of a streamed answer.
struct caller_end
{
    request_id id = 0;
};

/// @}

using entry_output = std::variant<caller_reply, caller_event, caller_end, run_store_op, open_peer, send_peer,
                                  close_peer, trace_event, ready_to_stop>;

/// Counts that a process publishes and tests check.
struct entry_counts
{
    std::size_t programs = 0;
    std::size_t calls_in_progress = 0;
    std::size_t shards_owned = 0;
    std::size_t peers_live = 0;
    std::uint64_t calls_accepted = 0;
    std::uint64_t calls_refused = 0;
    std::uint64_t calls_finished = 0;
    std::uint64_t retries = 0;
    std::uint64_t takeovers = 0;
    bool ready = false;
};

namespace detail
{
struct entry_state;
} // namespace detail

/// The control core of an entry process.
class entry_core
{
  public:
    /// Inbound links must be numbered from here on by the process; the core numbers those that it opens
    /// below.
    static constexpr link_id first_inbound_link = link_id{1} << 32U;

    explicit entry_core(entry_options options);
    ~entry_core();
    entry_core(entry_core&&) noexcept;
    entry_core& operator=(entry_core&&) noexcept;
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;

    /// Takes in what has happened and runs all systems once.
    /// @param inputs what came in since the last step, in order
    /// @param now    the time; never less than before
    /// @return what the process has to do, in order
    [[nodiscard]] std::vector<entry_output> step(std::span<const entry_input> inputs, core_time now);

    /// @return when to step again at the latest if nothing comes in
    [[nodiscard]] core_time next_wakeup() const;

    [[nodiscard]] entry_counts counts() const;

  private:
    std::unique_ptr<detail::entry_state> m_state;
};

} // namespace masticcourse

/// @file
/// Chooses the target of a call in the entry process that owns the program. The decisions are pure functions
/// of lagging load reports and a given time, so they also run in virtual time.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"
#include "masticcourse/policy/engine_costs.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace masticcourse
{

/// An entry process's view of one target: the last load report, and the work that the process itself has sent
/// there and the report does not include.
struct target_view
{
    process_name name;
    failure_domain_name failure_domain;
    target_load report;
    /// Arrival time of @a report.
    core_time report_time{};
    /// Work that this process has sent since the report, minus its work known to have finished since; may be
    /// negative.
    token_count in_flight_prefill = 0;
    token_count in_flight_decode = 0;
    /// Outstanding calls of this process at the target.
    std::uint32_t in_flight = 0;
    /// Whether the target is connected, is not leaving and is allowed by its circuit breaker.
    bool usable = true;
};

/// A prefix of the program that a target's engine is assumed to have cached.
struct cached_prefix
{
    /// Index of the target in the span of views.
    std::size_t target = 0;
    token_count tokens = 0;
};

/// The call to place.
struct placement_query
{
    program_id program;
    token_count prompt_tokens = 0;
    token_count expected_completion_tokens = 0;
    std::span<const cached_prefix> cached;
    failure_domain_name local_domain;
    /// Index of the target of the program's previous call.
    std::optional<std::size_t> previous_target;
    /// A number that differs between successive calls; used only by `round_robin` and for sampling.
    std::uint64_t sequence = 0;
};

/// The result of a placement.
struct placement_choice
{
    std::size_t target = 0;
    /// Estimated time until the call's last token; zero for policies that do not estimate it.
    core_duration estimated_duration{};
    /// The target whose KV cache is to be exported, and imported at @a target, before the call is sent.
    std::optional<std::size_t> transfer_prefix_from;
};

/// @name Policies
/// @{

/// Minimizes the sum of queueing delay, prefill of the uncached tokens, and decode; see
/// docs/design/policy.md.
struct earliest_finish
{
    /// Weight of the prefill that a target without the cached prefix repeats. Greater than 1, as this prefill
    /// also delays other calls.
    double recompute_weight = 20.0;
    /// Rate of KV export and import in tokens per second; 0 if the engines cannot transfer a prefix.
    double transfer_rate = 0;
    /// Fixed cost of one transfer.
    core_duration transfer_overhead = std::chrono::milliseconds{20};
    /// Number of targets considered besides those that hold a prefix; 0 considers all.
    std::size_t sample_size = 16;
};

/// Cycles through the usable targets.
struct round_robin
{
};

/// The target with the fewest queued and running calls, by the last report alone.
struct least_load
{
};

/// The previous target while it is usable, else the least loaded one.
struct sticky
{
};

using placement_policy = std::variant<earliest_finish, round_robin, least_load, sticky>;
/// @}

struct placement_options
{
    placement_policy policy;
    /// Rates assumed for a target that has not reported any, in tokens per second.
    double default_prefill_rate = 8000;
    double default_decode_rate = 700;
    /// Number of sequences in an engine's full batch; they share its decode rate.
    double batch_size = 16;
    /// Fraction by which each running sequence lengthens the decode steps of the others.
    double batch_slowdown = default_batch_slowdown;
    /// Maximum age of a report that is used to estimate the queue.
    core_duration report_lifetime = std::chrono::seconds{5};
};

/// Chooses the target of one call.
/// @return no value if no target is usable
[[nodiscard]] std::optional<placement_choice> choose_target(const placement_query& query,
                                                            std::span<const target_view> targets,
                                                            core_time now, const placement_options& options);

/// Estimates how long a new call would wait at @a target before its own prefill begins.
[[nodiscard]] core_duration expected_queue_delay(const target_view& target, core_time now,
                                                 const placement_options& options);

} // namespace masticcourse

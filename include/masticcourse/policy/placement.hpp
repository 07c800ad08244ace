/// @file
/// Where a program's home sends a call: pure decisions over lagging reports, in virtual time.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/messages/peer_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace masticcourse
{

/// One target as a home sees it: its last report, and the home's own work that the report can't know of.
struct target_view
{
    process_name name;
    failure_domain_name failure_domain;
    target_load report;
    /// When @a report arrived.
    core_time report_time{};
    /// Own work sent since the report less own work known to be finished since; may be negative.
    token_count in_flight_prefill = 0;
    token_count in_flight_decode = 0;
    /// Own calls at this target.
    std::uint32_t in_flight = 0;
    /// Connected, not leaving, and its breaker lets calls through.
    bool usable = true;
};

/// A prefix of the program that a target's engine is believed to hold.
struct cached_prefix
{
    /// Index of the target in the span of views.
    std::size_t target = 0;
    token_count tokens = 0;
};

/// What is to be placed.
struct placement_query
{
    program_id program;
    token_count prompt_tokens = 0;
    token_count expected_completion_tokens = 0;
    std::span<const cached_prefix> cached;
    failure_domain_name local_domain;
    /// Where the program's previous call went.
    std::optional<std::size_t> previous_target;
    /// A number that differs from one call to the next; only `round_robin` and sampling use it.
    std::uint64_t sequence = 0;
};

/// Where the call goes.
struct placement_choice
{
    std::size_t target = 0;
    /// The time until the call's last token, as estimated; zero for policies that estimate nothing.
    core_duration estimated_duration{};
    /// The target whose KV cache is to be exported and imported at @a target first.
    std::optional<std::size_t> transfer_prefix_from;
};

/// @name Policies
/// @{

/// Least sum of queue, prefill of what is not cached, and decode; see docs/design/policy.md.
struct earliest_finish
{
    /// The weight of prefill that a cold target computes again: it delays others too, so more than its own
    /// time.
    double recompute_weight = 20.0;
    /// Tokens per second by KV export and import; 0 where engines can't move a prefix.
    double transfer_rate = 0;
    /// The fixed cost of one move.
    core_duration transfer_overhead = std::chrono::milliseconds{20};
    /// Targets looked at besides those that hold a prefix; 0 looks at all.
    std::size_t sample_size = 16;
};

/// Each usable target in turn.
struct round_robin
{
};

/// Least queued and running calls by the last report alone.
struct least_load
{
};

/// The last target as long as it is usable, else the least loaded.
struct sticky
{
};

using placement_policy = std::variant<earliest_finish, round_robin, least_load, sticky>;
/// @}

/// How calls are placed.
struct placement_options
{
    placement_policy policy;
    /// Speeds of a target that has not reported any, tokens per second.
    double default_prefill_rate = 8000;
    double default_decode_rate = 700;
    /// Sequences of an engine's full batch, which share its decode rate.
    double batch_size = 16;
    /// How much each running sequence lengthens the steps of the others, as a part of a step.
    double batch_slowdown = 0.02;
    /// A report older than this tells nothing about the queue.
    core_duration report_lifetime = std::chrono::seconds{5};
};

/// Chooses the target of one call.
/// @return the choice, or nothing if no target is usable
[[nodiscard]] std::optional<placement_choice> choose_target(const placement_query& query,
                                                            std::span<const target_view> targets,
                                                            core_time now, const placement_options& options);

/// How long a new call would wait at @a target before its own prefill begins, as estimated.
[[nodiscard]] core_duration expected_queue_delay(const target_view& target, core_time now,
                                                 const placement_options& options);

} // namespace masticcourse

/// @file
/// Admission control at the edge by estimated cost: a call that cannot finish in time is rejected
/// immediately, before it runs.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace masticcourse
{

/// The backlog of a service's targets as estimated at the edge.
struct service_backlog
{
    /// Time in which all usable targets together complete the queued and running work.
    core_duration drain_time{};
    std::uint32_t usable_targets = 0;
};

struct admission_query
{
    /// Time that one target would need for the call alone.
    core_duration estimated_duration{};
    service_class priority = service_class::standard;
    /// Whether the program has not run any call yet.
    bool first_turn = false;
    /// No value if the call has no deadline.
    std::optional<core_duration> time_to_deadline;
};

struct overload_options
{
    /// Maximum drain time at which new programs of the highest class are admitted.
    core_duration new_program_limit = std::chrono::milliseconds{600};
    /// Limit of each lower class as a fraction of the limit of the class above it.
    double class_factor = 0.7;
    /// Maximum drain time at which calls of running programs are admitted.
    core_duration running_program_limit = std::chrono::seconds{60};
    /// Bounds of the retry delay that a rejection states.
    core_duration min_retry_after = std::chrono::milliseconds{500};
    core_duration max_retry_after = std::chrono::minutes{2};
};

/// Decides whether a call is admitted.
/// @return no value if the call is admitted, else the delay before a retry; a rejected call has not run
[[nodiscard]] std::optional<core_duration> overload_retry_after(const admission_query& query,
                                                                const service_backlog& backlog,
                                                                const overload_options& options);

} // namespace masticcourse

/// @file
/// Admission at the edge by estimated cost: what can't be finished in time is refused at once, before it
/// runs.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace masticcourse
{

/// The work that waits in front of a service's targets, as the edge estimates it.
struct service_backlog
{
    /// The time that all usable targets together need for what waits and runs now.
    core_duration drain_time{};
    /// Usable targets.
    std::uint32_t usable_targets = 0;
};

struct admission_query
{
    /// The time that one target would need for the call by itself.
    core_duration estimated_duration{};
    service_class priority = service_class::standard;
    /// The program has run nothing yet.
    bool first_turn = false;
    /// Time left.
    std::optional<core_duration> time_to_deadline;
};

struct overload_options
{
    /// The longest backlog under which new programs of the first class are taken in.
    core_duration new_program_limit = std::chrono::milliseconds{600};
    /// The part of that limit that each class below the first has, of the one above.
    double class_factor = 0.7;
    /// The longest backlog under which running programs go on.
    core_duration running_program_limit = std::chrono::seconds{60};
    /// The shortest and longest time to come back that is named.
    core_duration min_retry_after = std::chrono::milliseconds{500};
    core_duration max_retry_after = std::chrono::minutes{2};
};

/// Decides on one call.
/// @return nothing if it is admitted, else when to come back; a refused call has not run
[[nodiscard]] std::optional<core_duration> overload_retry_after(const admission_query& query,
                                                                const service_backlog& backlog,
                                                                const overload_options& options);

} // namespace masticcourse

/// @file
/// Input and results of admission control.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace masticcourse::gateway
{

/// Identifies a waiting request within one gateway.
using admission_ticket = std::uint64_t;

/// A request to a service under admission control.
struct admission_request
{
    workspace_id workspace;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The request continues a program whose work would be lost, or belongs to no program.
    bool under_way = false;
    /// Expected duration of the request at a target, without waiting.
    duration expected_duration{};
    /// When the program should be finished; the request has no such time if it belongs to no program.
    std::optional<time_point> program_deadline;
    /// When the caller gives up.
    time_point deadline{};
};

/// The room of a service: its capacity for further requests, over all gateways.
struct service_room
{
    /// Requests that the targets run at once.
    std::uint32_t slots = 0;
    /// Requests that the targets could take now.
    double free = 0;
    /// Requests held back by other gateways.
    std::uint32_t others_waiting = 0;
    /// Typical duration of a request at a target, without waiting.
    duration typical_duration{};
};

/// The request may be sent now.
struct admitted
{
};

/// The request waits; admission_control::next() or expire() returns it later.
struct held_back
{
    admission_ticket ticket = 0;
};

/// The request is refused. It has not run.
struct not_admitted
{
    milliseconds retry_after{};
    std::string reason;
};

/// The immediate result of admission_control::request().
using admission_decision = std::variant<admitted, held_back, not_admitted>;

/// Limits of the queue and of Retry-After.
struct admission_options
{
    /// Maximum number of waiting requests for each slot of the service, and in total.
    double queue_per_slot = 16;
    std::size_t max_queue = 1'000;
    milliseconds min_retry_after{100};
    /// Callers wait for up to a third of their remaining time, about a second.
    milliseconds max_retry_after{1'000};
    /// How often the free room is shared anew while several gateways hold requests back; at least the usual
    /// age of the view of the other gateways.
    milliseconds share_period{300};
};

} // namespace masticcourse::gateway

/// @file
/// Admission of requests to a service whose targets are short of room: who is sent, who waits, and who is
/// refused with which Retry-After.
///
/// Load pattern: callers of many workspaces compete for too little room. If all are admitted, all are served
/// a little too late, and programs that can't end in time keep the targets from those that could.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

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
    /// Whether the program has run a turn before.
    bool under_way = false;
    /// Expected duration of the request at a target, without waiting.
    duration expected_duration{};
    /// When the program should be finished; the request has no such time if it belongs to no program.
    std::optional<time_point> program_deadline;
    /// When the caller gives up.
    time_point deadline{};
};

/// The room of a service, over all gateways.
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

struct admitted
{
};

/// The request waits; it is reported by next() or expired() later.
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

using admission_decision = std::variant<admitted, held_back, not_admitted>;

struct admission_options
{
    /// Maximum number of waiting requests for each slot of the service, and in total.
    double queue_per_slot = 16;
    std::size_t max_queue = 1'000;
    milliseconds min_retry_after{100};
    /// Callers wait for up to a third of their remaining time, about a second.
    milliseconds max_retry_after{1'000};
};

/// Admission control of one service in one gateway.
class admission_control
{
  public:
    admission_control(admission_options options, random_seed seed);

    /// Decides about a new request. It is admitted at once if there is room and nobody waits.
    [[nodiscard]] admission_decision request(const admission_request& request, const service_room& room,
                                             time_point now);

    /// @return the waiting request that is to be sent next; nothing if this gateway's share of the room is
    /// used up or nobody waits
    [[nodiscard]] std::optional<admission_ticket> next(const service_room& room, time_point now);

    /// A waiting request that can no longer be served in time.
    struct expired_request
    {
        admission_ticket ticket = 0;
        not_admitted refusal;
    };

    /// Removes and returns the waiting requests that can no longer be served in time.
    [[nodiscard]] std::vector<expired_request> expire(const service_room& room, time_point now);

    /// Removes a waiting request whose caller has left.
    void cancel(admission_ticket ticket);

    /// Records that an admitted request has ended, which frees a slot.
    void completed(time_point now);

    /// Records the number of turns of a finished program, or the number so far.
    void record_turn(bool first_turn);

    [[nodiscard]] std::size_t waiting() const;
};

} // namespace masticcourse::gateway

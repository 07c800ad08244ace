/// @file
/// Admission of requests to a service whose targets are short of capacity: which requests are sent, which
/// wait, and which are refused with what Retry-After.
///
/// Load pattern: callers of many workspaces compete for too little capacity. If all are admitted, all are
/// served slightly too late, and programs that can't end in time delay those that could.
#pragma once

#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/scheduling/admission_queue.hpp"
#include "masticcourse/gateway/scheduling/admission_types.hpp"
#include "masticcourse/gateway/scheduling/drain_rate.hpp"
#include "masticcourse/gateway/scheduling/new_program_policy.hpp"
#include "masticcourse/gateway/scheduling/room_share.hpp"
#include "masticcourse/gateway/scheduling/workspace_shares.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Admission control of one service in one gateway.
class admission_control
{
  public:
    admission_control(admission_options options, random_seed seed);

    /// Decides about a new request. It is admitted at once if there is room and no request waits here.
    /// If other gateways hold requests back, it must also be within this gateway's share of the room. If the
    /// queue is full, a waiting request may be refused in its place, which expire() then reports.
    [[nodiscard]] admission_decision request(const admission_request& request, const service_room& room,
                                             time_point now);

    /// @return the waiting request that is to be sent next, which is removed; nothing if this gateway's share
    /// of the room is used up or no request waits
    [[nodiscard]] std::optional<admission_ticket> next(const service_room& room, time_point now);

    /// A waiting request that can no longer be served in time.
    struct expired_request
    {
        admission_ticket ticket = 0;
        not_admitted refusal;
    };

    /// Removes and returns the waiting requests that can no longer be served in time, and those refused
    /// because the queue is full. Called after request() and at intervals.
    [[nodiscard]] std::vector<expired_request> expire(const service_room& room, time_point now);

    /// Removes a waiting request whose caller has left.
    void cancel(admission_ticket ticket);

    /// Records that an admitted request has ended, which frees a slot.
    void completed(time_point now);

    /// Records a turn of a program, for the expected number of turns. Called once for each turn.
    void record_turn(bool first_turn);

    /// @return the number of waiting requests
    [[nodiscard]] std::size_t waiting() const;

  private:
    /// Why a request can't be served in time, and how many requests would have to end first so that it can.
    struct excess_load
    {
        double requests = 0;
        std::string reason;
    };

    /// @return whether the request may be sent in advance of this gateway's share of the room
    [[nodiscard]] bool may_advance(const admission_request& request) const;
    /// @return the time that a new program may wait, over all its turns
    [[nodiscard]] duration slack_of(const admission_request& request, time_point now) const;
    [[nodiscard]] bool admits_at_once(const admission_request& request, const service_room& room,
                                      time_point now);
    [[nodiscard]] std::optional<excess_load> excess(const admission_request& request,
                                                    const service_room& room, time_point now) const;
    /// @return the number of requests in all gateways that have to end before this one can start
    [[nodiscard]] double requests_ahead(const admission_request& request, const service_room& room,
                                        time_point now) const;
    /// @return the time by which a held back request must have started
    [[nodiscard]] time_point start_by(const admission_request& request, time_point now) const;
    [[nodiscard]] admission_decision hold_back(const admission_request& request, const service_room& room,
                                               time_point now);
    [[nodiscard]] not_admitted refuse(const excess_load& excess, const service_room& room);

    admission_options m_options;
    std::mt19937 m_random;
    admission_queue m_queue;
    room_share m_share;
    workspace_shares m_workspaces;
    turn_estimate m_turns;
    drain_rate m_rate;
    /// Refused because the queue was full, not yet reported.
    std::vector<expired_request> m_dropped;
    admission_ticket m_next_ticket = 1;
};

} // namespace masticcourse::gateway

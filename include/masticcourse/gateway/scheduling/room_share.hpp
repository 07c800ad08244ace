/// @file
/// This gateway's share of the free room of a service.
///
/// Load pattern: many gateways see the same free slots, in a view that is some hundred milliseconds old. If
/// each used all of them, each slot would be filled many times over.
#pragma once

#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/scheduling/admission_types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace masticcourse::gateway
{

/// A share of free room is assigned once a period: free room * own waiting / all waiting, rounded at random,
/// so that the shares of all gateways add up to the room. In a period, N gateways exceed it by less than one
/// request each, and by about the root of N / 4 on average.
///
/// A gateway reuses the slots that it frees at once, because the others learn of them only with their next
/// view. If it holds more than its share of all slots, it leaves part of them to the others.
///
/// Some requests may be sent in advance of the share, at most one for each gateway: otherwise they would wait
/// for the gateway's next completion, which takes long with many gateways. While other gateways hold none
/// back, only the room itself limits this one.
class room_share
{
  public:
    room_share(milliseconds period, random_seed seed) : m_period(period), m_random(seed.value) {}

    /// @param own_waiting requests held back by this gateway, with the one to be sent
    /// @param may_advance whether that one may be sent in advance of the share
    /// @return whether it may be sent
    [[nodiscard]] bool available(const service_room& room, std::size_t own_waiting, bool may_advance,
                                 time_point now);

    /// Records that a request is sent.
    void sent();
    /// Records that a request that was sent has ended.
    void completed();

    /// @return this gateway's part of the requests in flight, from 0 to 1
    [[nodiscard]] double of_in_flight(const service_room& room) const;

  private:
    void assign(const service_room& room, double share, time_point now);
    void reuse_freed_slots(const service_room& room, double share);

    duration m_period;
    std::mt19937 m_random;
    /// Requests that may be sent within this period, and a fraction.
    double m_credit = 0;
    std::optional<time_point> m_assigned;
    std::uint32_t m_in_flight = 0;
    /// Own requests that ended since the last decision.
    std::uint32_t m_freed = 0;
};

} // namespace masticcourse::gateway

/// @file
/// Which requests a gateway that shuts down still sends to targets.
///
/// Load pattern: a planned stop of one gateway among several. Callers go on sending on the connections that
/// they have, and bodies that began to arrive before the stop arrive whole late in the grace period. A
/// request that can't be finished before the process ends must not be begun: refused as not executed, it is
/// served by another gateway; begun, its response is lost, and a request that may run once only with it.
#pragma once

#include "masticcourse/gateway/route_table.hpp"
#include "masticcourse/gateway/scheduling/running_mean.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace masticcourse::gateway
{

/// A request that is about to be sent to a target.
struct shutdown_query
{
    const route& matched_route;
    /// By when the request is answered in any case.
    time_point deadline;
    /// The caller is still sending the body.
    bool body_arriving = false;
};

class shutdown_admission
{
  public:
    /// Begins the shutdown.
    /// @param requests_end when the requests that are still in progress are ended
    void begin(time_point now, time_point requests_end);

    /// Records how long a request took from its last send to a target to the end of its response.
    void record(const route& matched_route, duration took);

    /// @return whether the request will be finished before the requests in progress are ended; true unless
    /// the gateway shuts down. It is told by what requests of the route usually take; if too little is known
    /// of them, most of the grace period has to be left, as for a request that came before it.
    [[nodiscard]] bool may_finish(const shutdown_query& query, time_point now) const;

  private:
    /// Mean and mean deviation, in seconds.
    struct usual_duration
    {
        running_mean mean;
        running_mean deviation;
    };

    [[nodiscard]] std::optional<duration> usual_duration_of(const route& matched_route) const;

    /// The time in which requests in progress may be finished, once the gateway shuts down.
    struct grace_period
    {
        time_point begin;
        time_point end;
    };

    std::optional<grace_period> m_grace;
    /// By a hash of the route's host and prefix.
    std::unordered_map<std::size_t, usual_duration> m_durations;
};

} // namespace masticcourse::gateway

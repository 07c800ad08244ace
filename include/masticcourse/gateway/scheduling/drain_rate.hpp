/// @file
/// The rate at which a service completes its requests, and the Retry-After that follows from it.
///
/// Load pattern: refused callers that all come back at the same time, or before there is room, cause the next
/// peak.
#pragma once

#include "masticcourse/gateway/scheduling/admission_types.hpp"

#include <random>

namespace masticcourse::gateway
{

/// Rate of completions as seen by this gateway.
class drain_rate
{
  public:
    /// Records the end of a request.
    /// @param waiting whether requests wait in this gateway; only then do completions show the capacity
    void completed(bool waiting, time_point now);

    /// @param own_share this gateway's part of the requests in flight
    /// @return completions per second of the whole service
    [[nodiscard]] double of_service(const service_room& room, double own_share) const;

  private:
    /// Completions and seconds during which requests waited, both decaying.
    double m_completions = 0;
    double m_seconds = 0;
    bool m_was_waiting = false;
    time_point m_updated{};
};

/// @return completions per second that the slots allow at the typical duration; 0 if that is unknown
[[nodiscard]] double nominal_rate(const service_room& room);

/// @return the time until @a excess requests have drained, with a random deviation of up to a quarter, within
/// the bounds of the options
[[nodiscard]] milliseconds retry_after(double excess, double rate, const admission_options& options,
                                       std::mt19937& random);

} // namespace masticcourse::gateway

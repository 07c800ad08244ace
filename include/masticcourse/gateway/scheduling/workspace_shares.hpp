/// @file
/// Which workspaces have lately received less than their fair share of a service.
///
/// Load pattern: a workspace that sends far more than its share takes slots as fast as they become free,
/// because it always has another new program to start. The others would be refused as often, although they
/// ask for less than their share.
#pragma once

#include "masticcourse/gateway/scheduling/admission_types.hpp"

#include <cstdint>
#include <unordered_map>

namespace masticcourse::gateway
{

/// Service that the workspaces asked for and received over the last seconds.
class workspace_shares
{
  public:
    /// Records that a request has arrived.
    void record_arrival(const admission_request& request, time_point now);
    /// Records that a request is sent.
    void record_sent(const admission_request& request, time_point now);

    /// @return whether the workspace received clearly less than the fair share of its priority: the share
    /// that each workspace gets if none receives more than it asked for
    [[nodiscard]] bool below_share(const admission_request& request) const;

  private:
    /// Milliseconds of expected duration, decaying.
    struct usage
    {
        std::uint32_t priority = 0;
        double requested = 0;
        double served = 0;
    };

    usage& entry(const admission_request& request, time_point now);
    void decay(time_point now);
    [[nodiscard]] double fair_share(std::uint32_t priority) const;

    std::unordered_map<workspace_id, usage> m_usage;
    time_point m_decayed{};
};

} // namespace masticcourse::gateway

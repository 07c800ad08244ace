/// @file
/// Expected durations of one request at the targets of a service.
#pragma once

#include "masticcourse/gateway/scheduling/target_ranking.hpp"

#include <chrono>

namespace masticcourse::gateway
{

using real_seconds = std::chrono::duration<double>;

/// Estimates of one request at any target. The load is a parameter of its own, as it may have changed since
/// the estimate of the target was made.
class finish_model
{
  public:
    finish_model(const placement_request& request, const placement_costs& costs);

    [[nodiscard]] static double slots(const target_estimate& it);
    /// @return the number of requests that the target runs
    [[nodiscard]] static double running(const target_estimate& it, double load);

    /// @return how long a request in the queue of this target runs
    [[nodiscard]] real_seconds typical_duration(const target_estimate& it) const;
    [[nodiscard]] real_seconds wait(const target_estimate& it, double load) const;
    [[nodiscard]] real_seconds finish(const target_estimate& it, double load) const;
    /// @return the finish, and what other requests lose by prefill that another candidate would save
    /// @param cached_elsewhere tokens that another candidate has cached
    [[nodiscard]] real_seconds cost(const target_estimate& it, double load,
                                    token_count cached_elsewhere) const;

    /// @return the cached tokens that the request can use
    [[nodiscard]] token_count cached(const target_estimate& it) const;
    [[nodiscard]] bool in_preferred_domain(const target_estimate& it) const;

  private:
    [[nodiscard]] bool is_plain() const;
    [[nodiscard]] real_seconds prefill(token_count tokens) const;
    [[nodiscard]] real_seconds uncached_prefill(const target_estimate& it) const;
    [[nodiscard]] real_seconds output() const;
    /// @return the duration at an idle target of typical speed
    [[nodiscard]] real_seconds idle_duration(const target_estimate& it) const;
    [[nodiscard]] real_seconds service_time(const target_estimate& it, double load) const;
    [[nodiscard]] real_seconds network_time(const target_estimate& it) const;

    const placement_request& m_request;
    placement_costs m_costs;
};

} // namespace masticcourse::gateway

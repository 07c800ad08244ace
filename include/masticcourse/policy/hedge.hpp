/// @file
/// Request hedging: an idempotent call with a slow response is sent a second time, to another target.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/policy/retry.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace masticcourse
{

struct hedge_options
{
    /// Quantile of the recent latencies from which the hedging delay is computed.
    double quantile = 0.95;
    /// Factor by which the hedging delay exceeds that quantile.
    double factor = 1.5;
    /// Number of recent latencies kept, and the minimum number from which a delay is computed.
    std::size_t window = 128;
    std::size_t min_samples = 32;
    /// Limits the hedges per call, so that a slow service does not receive twice the load.
    retry_budget_options budget{.ratio = 0.05, .burst = 5};
};

/// The hedging policy of one service.
class hedge_policy
{
  public:
    hedge_policy() = default;
    explicit hedge_policy(const hedge_options& options);

    /// Records the first attempt of a call.
    void record_request();

    /// Records the latency of a finished call.
    void record_latency(core_duration latency);

    /// Time after which an unfinished call should be hedged.
    /// @param idempotent whether the call may run twice
    /// @return no value if the call is not idempotent or too few latencies have been recorded
    [[nodiscard]] std::optional<core_duration> delay(bool idempotent) const;

    /// Takes one hedge from the budget.
    /// @return false if the budget is exhausted
    bool try_hedge();

  private:
    hedge_options m_options;
    retry_budget m_budget{m_options.budget};
    std::vector<core_duration> m_latencies;
    std::size_t m_next_index = 0;
};

} // namespace masticcourse

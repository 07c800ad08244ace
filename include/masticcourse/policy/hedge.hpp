/// @file
/// When an idempotent call is sent a second time, to another target, because the first is late.
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
    /// A call is late when it takes longer than this part of the recent ones did.
    double quantile = 0.95;
    /// How much longer than that.
    double factor = 1.5;
    /// Recent calls that are remembered, and the fewest from which lateness can be told.
    std::size_t window = 128;
    std::size_t min_samples = 32;
    /// Hedges for each call, so that a slow service is not sent twice the work.
    retry_budget_options budget{.ratio = 0.05, .burst = 5};
};

/// The hedging of one service.
class hedge_policy
{
  public:
    hedge_policy() = default;
    explicit hedge_policy(const hedge_options& options);

    /// A call is sent for the first time.
    void record_request();

    /// A call has finished.
    void record_latency(core_duration latency);

    /// How long after sending a call it should be hedged.
    /// @param idempotent the call may run twice
    /// @return nothing if it must not, or nothing is known yet
    [[nodiscard]] std::optional<core_duration> delay(bool idempotent) const;

    /// Takes one hedge from the budget.
    bool try_hedge();

  private:
    hedge_options m_options;
    retry_budget m_budget{m_options.budget};
    std::vector<core_duration> m_latencies;
    std::size_t m_next_index = 0;
};

} // namespace masticcourse

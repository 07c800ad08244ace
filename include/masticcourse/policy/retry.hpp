/// @file
/// Retries that do not aggravate an overload: exponential backoff with jitter, and a retry budget
/// proportional to the number of requests.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>
#include <random>

namespace masticcourse
{

/// Random number generator of the control cores; seeded from outside, so that tests are reproducible.
using random_source = std::mt19937_64;

/// Exponential backoff between attempts.
struct backoff_options
{
    core_duration initial_delay = std::chrono::milliseconds{50};
    core_duration max_delay = std::chrono::seconds{5};
    double factor = 2.0;
};

/// Delay before a retry, uniformly distributed between half of the backoff delay and all of it.
/// @param attempt number of failed attempts, at least 1
[[nodiscard]] core_duration backoff_delay(const backoff_options& options, unsigned attempt,
                                          random_source& random);

/// Limits on the retries of an entry process.
struct retry_budget_options
{
    /// Retries granted per first attempt.
    double ratio = 0.1;
    /// Maximum number of unused retries; also the number that a new process starts with.
    double burst = 10;
};

/// Allows at most `burst + ratio x requests` retries.
class retry_budget
{
  public:
    retry_budget() = default;
    explicit retry_budget(const retry_budget_options& options);

    /// Records the first attempt of a request.
    void record_request();

    /// Takes one retry from the budget.
    /// @return false if the budget is exhausted; the failure is then final
    bool try_retry();

  private:
    retry_budget_options m_options;
    double m_tokens = m_options.burst;
};

} // namespace masticcourse

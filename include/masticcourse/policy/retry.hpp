/// @file
/// Retries that can't make an overload worse: backoff with jitter, and a budget that is a ratio of requests.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>
#include <random>

namespace masticcourse
{

/// The random numbers of the control cores; seeded from outside, so that tests repeat.
using random_source = std::mt19937_64;

/// How the waits between attempts grow.
struct backoff_options
{
    core_duration initial_delay = std::chrono::milliseconds{50};
    core_duration max_delay = std::chrono::seconds{5};
    double factor = 2.0;
};

/// The wait before a retry, uniform between half of the grown wait and all of it.
/// @param attempt how many attempts have failed, from 1
[[nodiscard]] core_duration backoff_delay(const backoff_options& options, unsigned attempt,
                                          random_source& random);

/// How many retries a home may make.
struct retry_budget_options
{
    /// Retries for each first attempt.
    double ratio = 0.1;
    /// Retries that may be saved up, and that a new process starts with.
    double burst = 10;
};

/// Allows at most `burst + ratio x requests` retries.
class retry_budget
{
  public:
    retry_budget() = default;
    explicit retry_budget(const retry_budget_options& options);

    /// A first attempt was made.
    void record_request();

    /// Takes one retry from the budget.
    /// @return false if there is none left: the failure is final
    bool try_retry();

  private:
    retry_budget_options m_options;
    double m_tokens = m_options.burst;
};

} // namespace masticcourse

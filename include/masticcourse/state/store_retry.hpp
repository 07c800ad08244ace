/// @file
/// When to ask the store again after it refused or gave no answer: gaps that grow, with jitter.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <cstdint>

namespace masticcourse
{

struct retry_options
{
    /// The gap after the first failure; it doubles with each further one.
    core_duration first_gap = std::chrono::milliseconds{50};
    core_duration longest_gap = std::chrono::seconds{2};
};

/// @param random state of the random numbers, changed by the call
/// @return a duration between half and one and a half of @a mean
[[nodiscard]] core_duration jittered(core_duration mean, std::uint64_t& random);

/// Spaces the attempts of one state machine, so that an outage meets no storm of them.
class store_retry
{
  public:
    /// @param seed spreads the attempts of different processes; the same seed gives the same gaps
    store_retry(retry_options options, std::uint64_t seed);

    /// The last attempt failed at @a now.
    void failed(core_time now);

    /// The last attempt was answered.
    void succeeded();

    [[nodiscard]] bool allowed(core_time now) const;

    /// @return the earliest time of the next attempt
    [[nodiscard]] core_time ready_at() const;

  private:
    retry_options m_options;
    std::uint64_t m_random;
    core_duration m_gap{};
    core_time m_ready_at = core_time::min();
};

} // namespace masticcourse

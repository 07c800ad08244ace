/// @file
/// Keeps calls away from a target that fails, and lets single probes find out when it is back.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <chrono>
#include <cstdint>

namespace masticcourse
{

enum class breaker_state : std::uint8_t
{
    closed,
    open,
    half_open,
};

struct breaker_options
{
    /// Failures in a row that open the breaker.
    std::uint32_t failure_threshold = 5;
    /// How long it stays open before probes go through; doubles with each failed probe.
    core_duration open_duration = std::chrono::seconds{1};
    core_duration max_open_duration = std::chrono::seconds{30};
    /// Probes at once while half open; so many successes close it.
    std::uint32_t half_open_probes = 2;
};

/// One target's breaker.
class circuit_breaker
{
  public:
    circuit_breaker() = default;
    explicit circuit_breaker(const breaker_options& options);

    /// @return whether a call would be let through; changes nothing
    [[nodiscard]] bool allows(core_time now) const;

    /// A call is sent; while half open it takes a probe.
    void on_sent(core_time now);

    void on_success(core_time now);

    /// The target failed a call (error, timeout, lost connection); refusals for load don't count.
    void on_failure(core_time now);

    [[nodiscard]] breaker_state state(core_time now) const;

  private:
    void open(core_time now);
    void update_state(core_time now);

    breaker_options m_options;
    breaker_state m_state = breaker_state::closed;
    std::uint32_t m_consecutive_failures = 0;
    std::uint32_t m_probes_sent = 0;
    std::uint32_t m_probes_succeeded = 0;
    core_duration m_open_duration{};
    core_time m_half_open_at{};
};

} // namespace masticcourse

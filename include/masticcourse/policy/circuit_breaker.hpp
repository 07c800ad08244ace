/// @file
/// Circuit breaker: stops sending calls to a failing target and sends probes to detect its recovery.
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
    /// Number of consecutive failures that opens the breaker.
    std::uint32_t failure_threshold = 5;
    /// Time the breaker stays open before it admits probes; doubles with each failed probe, up to
    /// `max_open_duration`.
    core_duration open_duration = std::chrono::seconds{1};
    core_duration max_open_duration = std::chrono::seconds{30};
    /// Number of probes sent while half open; the breaker closes when that many have succeeded.
    std::uint32_t half_open_probes = 2;
};

/// The circuit breaker of one target.
class circuit_breaker
{
  public:
    circuit_breaker() = default;
    explicit circuit_breaker(const breaker_options& options);

    /// @return whether a call may be sent now; does not change the state
    [[nodiscard]] bool allows(core_time now) const;

    /// Records that a call is sent; while half open, the call counts as a probe.
    void on_sent(core_time now);

    void on_success(core_time now);

    /// Records that the target failed a call (error, timeout, lost connection). Not to be called for calls
    /// that the target rejected because of load.
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

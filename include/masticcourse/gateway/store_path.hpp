/// @file
/// Which way a call to the store takes: directly, or through another gateway that reaches it while this one
/// does not. Pure decisions; the adapter sends.
///
/// Load pattern: the store turns a third of the gateways away for seconds (503, 429, resets, or silence)
/// while it serves the others. Calls through a peer cost a millisecond more; without them those gateways
/// refuse all turns.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>

namespace masticcourse::gateway
{

/// How a call over one hop ended.
enum class hop_result : std::uint8_t
{
    /// The store answered, whatever it said.
    answered,
    /// Turned away at once: nothing was done.
    rejected,
    /// Over the store's rate: nothing was done.
    rate_limited,
    /// No whole answer: a write may have been done.
    no_response,
};

class store_path
{
  public:
    /// @name The direct way
    /// @{

    /// @return whether calls go directly at present
    [[nodiscard]] bool direct() const
    {
        return !m_direct_path_down_since;
    }

    /// @return how long calls have not gone directly; nothing while they do
    [[nodiscard]] std::optional<duration> direct_path_down_for(time_point now) const;

    /// @return how long a direct call may take: several times what calls took of late
    [[nodiscard]] milliseconds call_timeout() const
    {
        return m_call_timeout;
    }

    /// @return how long to wait for an answer before the same call is made once more on a new connection:
    /// answers get lost, and connections fall silent. Calls may be made twice: their conditions hold once.
    [[nodiscard]] milliseconds hedge_delay() const;

    /// Takes note of a direct call or probe.
    /// @param probe whether it was sent to find out, so that its silence decides
    void on_direct(hop_result result, milliseconds took, time_point now, bool probe);

    /// @return whether a probe is due now; it counts as sent then
    [[nodiscard]] bool begin_probe(time_point now);
    /// @}

    /// No peer that was tried reaches the store.
    void on_peers_failed(time_point now);

    /// A peer passed a call on, and the store answered.
    void on_relayed()
    {
        m_peers_failed = false;
    }

    /// @return whether calls are answered at present, on one way or the other
    [[nodiscard]] bool reachable() const
    {
        return direct() || !m_peers_failed;
    }

    /// @return how long no direct call has failed
    [[nodiscard]] duration time_since_failure(time_point now) const;

  private:
    void mark_down(time_point now);

    std::optional<time_point> m_direct_path_down_since;
    bool m_peers_failed = false;
    bool m_probe_requested = false;
    std::uint32_t m_consecutive_rate_limited = 0;
    milliseconds m_call_timeout{400};
    double m_mean_latency_ms = 20;
    time_point m_last_probe{};
    std::optional<time_point> m_last_failure;
};

} // namespace masticcourse::gateway

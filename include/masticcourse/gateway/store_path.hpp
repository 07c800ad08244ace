/// @file
/// Decides whether calls to the store are made directly or relayed through another gateway that can still
/// reach it. Contains no I/O; the client in `platform/` makes the calls.
///
/// Load pattern: the store rejects a third of the gateways for seconds (503, 429, connection resets or
/// timeouts) while it serves the others. A relayed call takes a millisecond longer; without relaying, the
/// affected gateways would refuse all turns.
#pragma once

#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>

namespace masticcourse::gateway
{

/// The result of a call over one hop.
enum class hop_result : std::uint8_t
{
    /// The store processed the call, whatever the result.
    answered,
    /// Rejected immediately: the call was not executed.
    rejected,
    /// Rejected by the store's rate limit: the call was not executed.
    rate_limited,
    /// No complete answer: a write may have been executed.
    no_response,
    /// No complete answer in time, but this process was late to look: it says nothing about the store.
    unattended,
};

/// Times between probes of the direct path. Where many gateways probe, longer ones bound the load of all.
struct probe_intervals
{
    /// While the path is down, and so the maximum delay until it is used again.
    milliseconds while_down{250};
    /// Without any call: a gateway that makes few calls finds out in time that its path is down.
    milliseconds while_idle{2'000};
};

class store_path
{
  public:
    /// @name Direct calls
    /// @{

    /// @return whether calls are currently made directly
    [[nodiscard]] bool direct() const
    {
        return !m_direct_path_down_since;
    }

    /// @return how long the direct path has been down; nothing while it works
    [[nodiscard]] std::optional<duration> direct_path_down_for(time_point now) const;

    /// @return the timeout of a direct call: a multiple of the mean latency of recent calls
    [[nodiscard]] milliseconds call_timeout() const
    {
        return m_call_timeout;
    }

    /// @return how long to wait for an answer before the call is repeated on a new connection while the first
    /// one is still pending: answers get lost, and connections become unresponsive. Repeating a call is safe
    /// since its conditions hold only once.
    [[nodiscard]] milliseconds hedge_delay() const;

    /// Records the result of a direct call or probe.
    /// @param probe whether it was a probe; a probe without a response marks the direct path as down
    void on_direct(hop_result result, milliseconds took, time_point now, bool probe);

    /// @param intervals when to probe
    /// @return whether a probe is due now; if so, it is recorded as sent
    [[nodiscard]] bool begin_probe(time_point now, const probe_intervals& intervals = {});
    /// @}

    /// Records that none of the peers tried could reach the store.
    void on_peers_failed(time_point now);

    /// Records that a peer relayed a call and the store answered.
    void on_relayed()
    {
        m_peers_failed = false;
    }

    /// @return whether the store can currently be reached, directly or through a peer
    [[nodiscard]] bool reachable() const
    {
        return direct() || !m_peers_failed;
    }

    /// @return the time since a direct call last failed or the peers last could not reach the store
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
    /// The last result of a direct call.
    std::optional<time_point> m_last_result;
    std::optional<time_point> m_last_failure;
};

} // namespace masticcourse::gateway

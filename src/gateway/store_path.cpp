#include "masticcourse/gateway/store_path.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

/// Limits of the call timeout: a slow store is many times slower than a lightly loaded one.
constexpr milliseconds min_call_timeout{300};
constexpr milliseconds max_call_timeout{2'500};
/// Call timeout as a multiple of the mean latency.
constexpr double call_timeout_factor = 8;
/// Delay before a call is repeated, as a multiple of the mean latency. A lost answer then delays a turn only
/// little, and a store that is merely slow gets few additional calls because the mean follows its latency.
constexpr double hedge_factor = 3;
constexpr milliseconds min_hedge_delay{60};
/// Weight of the newest call in the moving average of the latency.
constexpr double latency_ewma_weight = 0.1;
/// Number of consecutive rate-limited calls after which the direct path is taken to be down: a store that is
/// merely busy accepts some calls of each gateway.
constexpr std::uint32_t max_consecutive_rate_limited = 5;

} // namespace

void store_path::on_direct(hop_result result, milliseconds took, time_point now, bool probe)
{
    m_last_result = now;
    m_consecutive_rate_limited = result == hop_result::rate_limited ? m_consecutive_rate_limited + 1 : 0;
    switch (result)
    {
    case hop_result::answered:
    {
        m_direct_path_down_since.reset();
        m_peers_failed = false;
        m_mean_latency_ms += latency_ewma_weight * (static_cast<double>(took.count()) - m_mean_latency_ms);
        const milliseconds timeout{static_cast<milliseconds::rep>(m_mean_latency_ms * call_timeout_factor)};
        m_call_timeout = std::clamp(timeout, min_call_timeout, max_call_timeout);
        return;
    }
    case hop_result::rejected:
        mark_down(now);
        return;
    case hop_result::rate_limited:
        if (m_consecutive_rate_limited >= max_consecutive_rate_limited)
        {
            mark_down(now);
        }
        return;
    case hop_result::unattended:
        m_call_timeout = std::min(m_call_timeout * 2, max_call_timeout);
        return;
    case hop_result::no_response:
        m_last_failure = now;
        // The store may be slow rather than unreachable: allow the next call more time.
        m_call_timeout = std::min(m_call_timeout * 2, max_call_timeout);
        m_probe_requested = true;
        if (probe)
        {
            mark_down(now);
        }
        return;
    }
}

void store_path::mark_down(time_point now)
{
    m_direct_path_down_since = m_direct_path_down_since.value_or(now);
    m_last_failure = now;
}

std::optional<duration> store_path::direct_path_down_for(time_point now) const
{
    return m_direct_path_down_since ? std::optional{now - *m_direct_path_down_since} : std::nullopt;
}

milliseconds store_path::hedge_delay() const
{
    return std::max(min_hedge_delay,
                    milliseconds{static_cast<milliseconds::rep>(m_mean_latency_ms * hedge_factor)});
}

bool store_path::begin_probe(time_point now, const probe_intervals& intervals)
{
    const bool wanted = m_direct_path_down_since || m_probe_requested;
    const bool idle = m_last_result && now >= std::max(*m_last_result, m_last_probe) + intervals.while_idle;
    const bool due = (wanted && now >= m_last_probe + intervals.while_down) || idle;
    if (due)
    {
        m_last_probe = now;
        m_probe_requested = false;
    }
    return due;
}

void store_path::on_peers_failed(time_point now)
{
    m_peers_failed = true;
    m_last_failure = now;
}

duration store_path::time_since_failure(time_point now) const
{
    return m_last_failure ? now - *m_last_failure : now.time_since_epoch();
}

} // namespace masticcourse::gateway

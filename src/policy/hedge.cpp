#include "masticcourse/policy/hedge.hpp"

#include <algorithm>

namespace masticcourse
{

hedge_policy::hedge_policy(const hedge_options& options) : m_options(options) {}

void hedge_policy::record_request()
{
    m_budget.record_request();
}

void hedge_policy::record_latency(core_duration latency)
{
    if (m_latencies.size() < m_options.window)
    {
        m_latencies.push_back(latency);
        return;
    }
    m_latencies[m_next_index] = latency;
    m_next_index = (m_next_index + 1) % m_latencies.size();
}

std::optional<core_duration> hedge_policy::delay(bool idempotent) const
{
    if (!idempotent || m_latencies.empty() || m_latencies.size() < m_options.min_samples)
    {
        return std::nullopt;
    }
    auto sorted = m_latencies;
    const auto last_index = static_cast<double>(sorted.size() - 1);
    const auto quantile_position =
        sorted.begin() + static_cast<std::ptrdiff_t>(last_index * m_options.quantile);
    std::ranges::nth_element(sorted, quantile_position);
    const double threshold = static_cast<double>(quantile_position->count()) * m_options.factor;
    return core_duration{static_cast<core_duration::rep>(threshold)};
}

bool hedge_policy::try_hedge()
{
    return m_budget.try_retry();
}

} // namespace masticcourse

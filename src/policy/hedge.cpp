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
    if (m_recent.size() < m_options.window)
    {
        m_recent.push_back(latency);
        return;
    }
    m_recent[m_next] = latency;
    m_next = (m_next + 1) % m_recent.size();
}

std::optional<core_duration> hedge_policy::delay(bool idempotent) const
{
    if (!idempotent || m_recent.empty() || m_recent.size() < m_options.fewest)
    {
        return std::nullopt;
    }
    auto sorted = m_recent;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(last * m_options.quantile);
    std::ranges::nth_element(sorted, nth);
    const double late = static_cast<double>(nth->count()) * m_options.factor;
    return core_duration{static_cast<core_duration::rep>(late)};
}

bool hedge_policy::try_hedge()
{
    return m_budget.try_retry();
}

} // namespace masticcourse

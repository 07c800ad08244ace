#include "masticcourse/policy/retry.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse
{

core_duration backoff_delay(const backoff_options& options, unsigned attempt, random_source& random)
{
    const auto max_delay = static_cast<double>(options.max_delay.count());
    const auto exponent = static_cast<double>(std::max(attempt, 1U) - 1);
    const double uncapped_delay =
        static_cast<double>(options.initial_delay.count()) * std::pow(options.factor, exponent);
    const double delay = std::min(uncapped_delay, max_delay);
    std::uniform_real_distribution<double> jitter{delay / 2, delay};
    return core_duration{static_cast<core_duration::rep>(jitter(random))};
}

retry_budget::retry_budget(const retry_budget_options& options) : m_options(options) {}

void retry_budget::record_request()
{
    m_tokens = std::min(m_tokens + m_options.ratio, m_options.burst);
}

bool retry_budget::try_retry()
{
    if (m_tokens < 1)
    {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace masticcourse

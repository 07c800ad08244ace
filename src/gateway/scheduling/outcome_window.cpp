#include "masticcourse/gateway/scheduling/outcome_window.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

void outcome_window::record(const target_outcomes& outcomes, time_point now)
{
    const auto number = bucket_number(now);
    const auto first_new = std::max(m_newest + 1, number - static_cast<std::int64_t>(bucket_count) + 1);
    for (auto it = first_new; it <= number; ++it)
    {
        m_buckets.at(slot_of(it)) = {};
    }
    m_newest = std::max(m_newest, number);
    m_buckets.at(slot_of(m_newest)) += outcomes;
}

outcome_window::recent_sums outcome_window::recent(time_point now) const
{
    recent_sums sums{};
    target_outcomes sum;
    const auto number = std::max(m_newest, bucket_number(now));
    const auto oldest = m_newest - static_cast<std::int64_t>(bucket_count);
    for (std::size_t n = 0; n < bucket_count; ++n)
    {
        const auto it = number - static_cast<std::int64_t>(n);
        if (it > oldest && it <= m_newest && it >= 0)
        {
            sum += m_buckets.at(slot_of(it));
        }
        sums.at(n) = sum;
    }
    return sums;
}

} // namespace masticcourse::gateway

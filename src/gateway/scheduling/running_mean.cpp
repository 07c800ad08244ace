#include "masticcourse/gateway/scheduling/running_mean.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

void running_mean::add(double value, double weight)
{
    if (weight <= 0)
    {
        return;
    }
    m_weight = std::min(m_weight + weight, m_max_weight);
    const auto gain = std::clamp(std::max(weight / m_weight, weight * m_min_gain), 0.0, 1.0);
    m_mean += gain * (value - m_mean);
}

} // namespace masticcourse::gateway

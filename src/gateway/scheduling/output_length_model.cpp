#include "masticcourse/gateway/scheduling/output_length_model.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

/// Weight of the assumption that estimates of output are right, in samples.
constexpr double output_prior = 4;

} // namespace

void output_length_model::record(token_count estimate, token_count actual)
{
    if (estimate <= 0 || actual < 0)
    {
        return;
    }
    const auto x = std::log(static_cast<double>(estimate));
    const auto y = std::log(static_cast<double>(std::max<token_count>(actual, 1)));
    m_estimate.add(x);
    m_actual.add(y);
    const auto dx = x - m_estimate.mean();
    m_variance.add(dx * dx);
    m_covariance.add(dx * (y - m_actual.mean()));
}

double output_length_model::expected(token_count estimate) const
{
    const auto weight = m_actual.weight();
    if (estimate <= 0)
    {
        return weight > 0 ? std::exp(m_actual.mean()) : 0;
    }
    // Assumed variance of the logarithm of estimates, so that few or equal estimates give no slope.
    constexpr double prior_variance = 0.1;
    const auto x = std::log(static_cast<double>(estimate));
    const auto slope = std::clamp((m_covariance.mean() * weight + prior_variance * output_prior) /
                                      (m_variance.mean() * weight + prior_variance * output_prior),
                                  0.0, 1.0);
    const auto fitted = m_actual.mean() + slope * (x - m_estimate.mean());
    return std::exp((fitted * weight + x * output_prior) / (weight + output_prior));
}

} // namespace masticcourse::gateway

/// @file
/// Expected output of a request from the caller's estimate and the outputs of earlier requests.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/scheduling/running_mean.hpp"

namespace masticcourse::gateway
{

/// Output length of one kind of request: a linear fit between the logarithms of the estimate and of the
/// actual output. A hint that is often far off moves the expectation only as far as hints of this kind are
/// worth.
class output_length_model
{
  public:
    /// Adds a finished request.
    void record(token_count estimate, token_count actual);
    /// @param estimate 0 if unknown
    /// @return 0 if unknown
    [[nodiscard]] double expected(token_count estimate) const;

  private:
    /// The fit covers about a hundred requests: outputs vary widely, and their relation to hints changes
    /// slowly.
    static constexpr double min_gain = 0.01;
    static constexpr double max_weight = 200;

    running_mean m_estimate{min_gain, max_weight};
    running_mean m_actual{min_gain, max_weight};
    running_mean m_variance{min_gain, max_weight};
    running_mean m_covariance{min_gain, max_weight};
};

} // namespace masticcourse::gateway

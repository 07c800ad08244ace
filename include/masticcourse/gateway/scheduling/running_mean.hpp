/// @file
/// Mean of samples in which later ones count more.
#pragma once

namespace masticcourse::gateway
{

/// Exponentially weighted mean. The first samples have equal weights.
class running_mean
{
  public:
    /// @param min_gain least share of a sample of weight 1 in the mean
    /// @param max_weight limit of weight()
    constexpr running_mean(double min_gain, double max_weight)
        : m_min_gain(min_gain), m_max_weight(max_weight)
    {
    }

    /// Adds a sample; one without a positive weight is ignored.
    void add(double value, double weight = 1);
    /// Reduces the weight of the previous samples to a share of @a factor.
    void fade(double factor)
    {
        m_weight *= factor;
    }
    /// @return the mean; 0 without samples
    [[nodiscard]] double mean() const
    {
        return m_mean;
    }
    /// @return the number of samples behind the mean; 0 if there is none
    [[nodiscard]] double weight() const
    {
        return m_weight;
    }

  private:
    double m_min_gain;
    double m_max_weight;
    double m_mean = 0;
    double m_weight = 0;
};

} // namespace masticcourse::gateway

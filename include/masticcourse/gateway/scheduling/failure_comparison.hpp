/// @file
/// Comparison of the failures at one target with those at the other targets of its service.
#pragma once

#include "masticcourse/gateway/scheduling/outcome_window.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace masticcourse::gateway
{

/// A target that fails a smaller share of its requests stays in use, because retries hide these failures.
inline constexpr double min_failure_ratio = 0.2;

/// The failure ratio that is usual for a service: an average over all targets in use and a longer time.
class usual_failures
{
  public:
    /// Adds the outcomes of a target in use.
    void add(const target_outcomes& outcomes)
    {
        m_successes += outcomes.successes;
        m_failures += outcomes.failures;
    }
    /// Lets earlier outcomes decay.
    /// @return failures per request, limited to the range that is usual without a fault
    [[nodiscard]] double ratio(time_point now);

  private:
    double m_successes = 0;
    double m_failures = 0;
    time_point m_updated{};
};

/// The targets of a service in one evaluation. Add all of them before any is compared.
class failure_comparison
{
  public:
    explicit failure_comparison(double usual_ratio) : m_usual_ratio(usual_ratio) {}

    /// Adds a target that is in use.
    void add(const outcome_window::recent_sums& target);

    /// @param target            outcomes at a target that has been added
    /// @param failures_in_a_row length of a run of failures that may be older than the window; 0 if it has
    /// not grown since the last evaluation
    /// @return the share of the target's requests that fail, if it is clearly larger than that of the others
    [[nodiscard]] std::optional<double> outlier_ratio(const outcome_window::recent_sums& target,
                                                      std::uint32_t failures_in_a_row) const;

  private:
    [[nodiscard]] bool excludes_down() const
    {
        // If most of the targets are down, the fault is a shared one.
        return m_down * 2 <= m_active;
    }
    /// @return outcomes at the others over the newest @a n + 1 buckets
    [[nodiscard]] target_outcomes others(const outcome_window::recent_sums& target, std::size_t n) const;
    [[nodiscard]] bool fails_more_often(const target_outcomes& outcomes, const target_outcomes& others) const;

    double m_usual_ratio;
    std::size_t m_active = 0;
    std::size_t m_down = 0;
    outcome_window::recent_sums m_all_outcomes{};
    outcome_window::recent_sums m_down_outcomes{};
};

} // namespace masticcourse::gateway

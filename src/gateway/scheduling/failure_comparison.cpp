#include "masticcourse/gateway/scheduling/failure_comparison.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

/// How many times the failure ratio of the others a target's ratio must be. A fault that all share, such as
/// one of this gateway's network, raises both.
constexpr double min_excess = 2;
/// Evidence (log-likelihood ratio) that a target fails more often than the others, required for an ejection.
/// By the Chernoff bound, at most one in e^15.5 = 5 million series of outcomes of a target that fails as
/// often as the others reaches it. Three failures in a row reach it if hardly any request fails usually, four
/// if one in 100 does, and six if five do.
constexpr double min_evidence = 15.5;
/// Failure ratio relative to that of the others that is a normal difference between targets.
constexpr double normal_difference = 1.5;
/// Bounds of the failure ratio that is usual for the service: few outcomes without a failure don't prove that
/// there are none, and a past fault that all targets shared must not hide the next one of a single target.
constexpr double min_usual_ratio = 0.005;
constexpr double max_usual_ratio = 0.05;
/// Weight of the prior of the usual ratio, as numbers of outcomes and of failures among them.
constexpr double prior_outcomes = 40;
constexpr double prior_failures = 2;
/// Time over which the usual ratio is averaged. The window of a gateway with few requests holds too few
/// outcomes to tell a ratio of 5% from none.
constexpr std::chrono::duration<double> usual_time_constant{60};
/// Failures in a row from which a target is regarded as down and is not among those compared with.
constexpr std::uint32_t down_failures = 3;

/// @return the evidence that outcomes with this failure ratio come from a higher one than @a expected
double evidence(double ratio, double count, double expected)
{
    if (ratio <= expected || expected >= 1)
    {
        return 0;
    }
    const auto from_failures = ratio * std::log(ratio / expected);
    const auto from_successes = ratio < 1 ? (1 - ratio) * std::log((1 - ratio) / (1 - expected)) : 0.0;
    return count * (from_failures + from_successes);
}

bool is_down(const outcome_window::recent_sums& outcomes)
{
    return std::ranges::any_of(outcomes, [](const target_outcomes& it)
                               { return it.successes == 0 && it.failures >= down_failures; });
}

} // namespace

double usual_failures::ratio(time_point now)
{
    const std::chrono::duration<double> elapsed{now - m_updated};
    const auto decay = std::exp(-std::max(0.0, elapsed / usual_time_constant));
    m_updated = now;
    m_successes *= decay;
    m_failures *= decay;
    const auto total = m_successes + m_failures + prior_outcomes;
    return std::min((m_failures + prior_failures) / total, max_usual_ratio);
}

void failure_comparison::add(const outcome_window::recent_sums& target)
{
    const bool down = is_down(target);
    m_active += target.back().total() > 0 ? 1U : 0U;
    m_down += down ? 1U : 0U;
    for (std::size_t n = 0; n < target.size(); ++n)
    {
        m_all_outcomes.at(n) += target.at(n);
        m_down_outcomes.at(n) += down ? target.at(n) : target_outcomes{};
    }
}

target_outcomes failure_comparison::others(const outcome_window::recent_sums& target, std::size_t n) const
{
    auto sum = m_all_outcomes.at(n);
    // Targets that are down are left out, the target among them.
    const auto left_out = excludes_down() ? m_down_outcomes.at(n) : target_outcomes{};
    sum -= left_out;
    const bool is_left_out = excludes_down() && is_down(target);
    sum -= is_left_out ? target_outcomes{} : target.at(n);
    return sum;
}

bool failure_comparison::fails_more_often(const target_outcomes& outcomes,
                                          const target_outcomes& others) const
{
    // Without a target that works there is nothing to compare with.
    if (outcomes.failures < down_failures || others.successes == 0)
    {
        return false;
    }
    const auto ratio = static_cast<double>(outcomes.failures) / outcomes.total();
    const auto other_ratio = static_cast<double>(others.failures) / others.total();
    const auto normal = normal_difference * std::max(m_usual_ratio, other_ratio);
    const auto expected = std::max(min_usual_ratio, normal);
    return ratio >= min_failure_ratio && ratio >= other_ratio * min_excess &&
           evidence(ratio, outcomes.total(), expected) >= min_evidence;
}

std::optional<double> failure_comparison::outlier_ratio(const outcome_window::recent_sums& target,
                                                        std::uint32_t failures_in_a_row) const
{
    constexpr auto whole = outcome_window::bucket_count - 1;
    // A shorter run is compared with the others over its own time below.
    const bool run_fills_window = target.at(whole).successes == 0;
    if (run_fills_window && fails_more_often({.failures = failures_in_a_row}, others(target, whole)))
    {
        return 1.0;
    }
    // Shorter intervals show a target that has just begun to fail.
    std::optional<double> worst;
    for (std::size_t n = 0; n < outcome_window::bucket_count; ++n)
    {
        const auto& outcomes = target.at(n);
        if (fails_more_often(outcomes, others(target, n)))
        {
            worst = std::max(worst.value_or(0), static_cast<double>(outcomes.failures) / outcomes.total());
        }
    }
    return worst;
}

} // namespace masticcourse::gateway

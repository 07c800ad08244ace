#include "masticcourse/gateway/quota/quota_slice.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// Time constant of the average program size. It is longer than the duration of a program, so that a flood of
/// first requests does not make programs appear small.
constexpr real_seconds size_time_constant{15};
/// Prior estimate used before any programs have been observed, and its weight as a number of programs.
constexpr double prior_others = 8;
constexpr double prior_weight = 2;
/// Only tokens above this fraction of the burst are granted for prefetching; below it, other requests are
/// waiting.
constexpr double prefetch_min_fill = 0.5;
/// Programs start only while the fill level is above this fraction of the burst. The rest is reserved for
/// programs in progress, which may need more requests than they were charged for.
constexpr double reserve_share = 0.25;

} // namespace

void token_bucket::refill(double rate, double capacity, time_point now)
{
    const auto elapsed = real_seconds{now - m_updated}.count();
    m_updated = now;
    m_level = std::min(capacity, m_level + rate * std::max(0.0, elapsed));
}

milliseconds token_bucket::time_until(double tokens, double rate) const
{
    if (m_level >= tokens)
    {
        return milliseconds{0};
    }
    constexpr real_seconds max_wait{60};
    const auto wait = rate > 0 ? real_seconds{(tokens - m_level) / rate} : max_wait;
    return std::chrono::ceil<milliseconds>(std::min(wait, max_wait));
}

void program_size_estimate::record(const request_counts& granted, time_point now)
{
    const auto decay = std::exp(-std::max(0.0, real_seconds{now - m_updated} / size_time_constant));
    m_updated = now;
    m_starts = m_starts * decay + granted.starts;
    m_others = m_others * decay + granted.others;
}

double program_size_estimate::average() const
{
    return 1 + (m_others + prior_others * prior_weight) / (m_starts + prior_weight);
}

std::uint32_t quota_slice::grant_others(const slice_demand& demand, const slice_limits& limits)
{
    const auto room = std::max(0.0, std::floor(m_request_tokens.level()));
    const auto waiting = std::min<double>(demand.waiting.others, room);
    const auto spare = std::floor(m_request_tokens.level() - limits.burst * prefetch_min_fill) - waiting;
    const auto prefetch = std::clamp<double>(spare, 0, demand.prefetch);
    return static_cast<std::uint32_t>(waiting + prefetch);
}

double quota_slice::in_progress_reserve(const slice_limits& limits, time_point now) const
{
    // Upper bound of the level of a slice that changed hands recently.
    const auto max_saved = std::min(limits.burst, limits.rate * real_seconds{now - m_acquired_at}.count());
    return m_policy == program_admission::prepaid ? max_saved * reserve_share : 0.0;
}

std::uint32_t quota_slice::grant_starts(std::uint32_t waiting, const slice_limits& limits, time_point now)
{
    const auto room = std::max(0.0, std::floor(m_request_tokens.level() - in_progress_reserve(limits, now)));
    const auto max_grants = static_cast<std::uint32_t>(std::min<double>(waiting, room));
    if (m_policy == program_admission::per_request)
    {
        return max_grants;
    }
    std::uint32_t granted = 0;
    const auto cost = m_program_size.average();
    while (granted < max_grants && m_start_tokens.level() > 0)
    {
        m_start_tokens.take(cost);
        ++granted;
    }
    return granted;
}

slice_grant quota_slice::grant(const slice_demand& demand, const slice_limits& limits, time_point now)
{
    m_request_tokens.refill(limits.rate, limits.burst, now);
    m_start_tokens.refill(limits.rate, limits.burst, now);
    slice_grant result;
    // Programs in progress take priority because work has already been done for them.
    result.granted.others = grant_others(demand, limits);
    m_request_tokens.take(result.granted.others);
    result.granted.starts = grant_starts(demand.waiting.starts, limits, now);
    m_request_tokens.take(result.granted.starts);
    m_program_size.record(result.granted, now);

    if (result.granted.others < demand.waiting.others)
    {
        result.others_retry_after = m_request_tokens.time_until(1, limits.rate);
    }
    if (result.granted.starts < demand.waiting.starts)
    {
        result.starts_retry_after = time_until_next_start(limits, now);
    }
    return result;
}

milliseconds quota_slice::time_until_next_start(const slice_limits& limits, time_point now) const
{
    const auto room = m_request_tokens.time_until(1 + in_progress_reserve(limits, now), limits.rate);
    const bool is_prepaid = m_policy == program_admission::prepaid;
    const auto until_debt_paid = is_prepaid ? m_start_tokens.time_until(0, limits.rate) : milliseconds{0};
    return std::max({room, until_debt_paid, milliseconds{1}});
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/quota/quota_slice.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// How far back programs count for the average size, as a time constant: longer than programs last, so that
/// a flood of first requests does not make programs look small.
constexpr real_seconds size_memory{15};
/// What is believed before programs have been seen, and the number of programs that it counts as.
constexpr double believed_others = 8;
constexpr double belief_weight = 2;
/// Requests are granted ahead only from this share of the burst on: below it there are others who wait.
constexpr double ahead_from = 0.5;
/// Programs begin only from this share of the burst on: the rest is kept for those under way, which may need
/// more than they paid for.
constexpr double starts_from = 0.25;

} // namespace

void token_bucket::fill(double rate, double most, time_point now)
{
    const auto elapsed = real_seconds{now - m_updated}.count();
    m_updated = now;
    m_level = std::min(most, m_level + rate * std::max(0.0, elapsed));
}

milliseconds token_bucket::until(double tokens, double rate) const
{
    if (m_level >= tokens)
    {
        return milliseconds{0};
    }
    constexpr real_seconds longest{60};
    const auto wait = rate > 0 ? real_seconds{(tokens - m_level) / rate} : longest;
    return std::chrono::ceil<milliseconds>(std::min(wait, longest));
}

void program_size::record(const request_counts& granted, time_point now)
{
    const auto kept = std::exp(-std::max(0.0, real_seconds{now - m_updated} / size_memory));
    m_updated = now;
    m_starts = m_starts * kept + granted.starts;
    m_others = m_others * kept + granted.others;
}

double program_size::average() const
{
    return 1 + (m_others + believed_others * belief_weight) / (m_starts + belief_weight);
}

std::uint32_t quota_slice::grant_others(const slice_demand& demand, const slice_terms& terms)
{
    const auto room = std::max(0.0, std::floor(m_requests.level()));
    const auto waiting = std::min<double>(demand.waiting.others, room);
    const auto spare = std::floor(m_requests.level() - terms.burst * ahead_from) - waiting;
    const auto ahead = std::clamp<double>(spare, 0, demand.ahead);
    return static_cast<std::uint32_t>(waiting + ahead);
}

double quota_slice::kept_from_starts(const slice_terms& terms, time_point now) const
{
    // A slice that changed hands lately can't have saved up more than this.
    const auto saved = std::min(terms.burst, terms.rate * real_seconds{now - m_since}.count());
    return m_policy == start_policy::paid_ahead ? saved * starts_from : 0.0;
}

std::uint32_t quota_slice::grant_starts(std::uint32_t waiting, const slice_terms& terms, time_point now)
{
    const auto room = std::max(0.0, std::floor(m_requests.level() - kept_from_starts(terms, now)));
    const auto most = static_cast<std::uint32_t>(std::min<double>(waiting, room));
    if (m_policy == start_policy::as_they_come)
    {
        return most;
    }
    std::uint32_t granted = 0;
    const auto price = m_size.average();
    while (granted < most && m_starts.level() > 0)
    {
        m_starts.take(price);
        ++granted;
    }
    return granted;
}

slice_grant quota_slice::grant(const slice_demand& demand, const slice_terms& terms, time_point now)
{
    m_requests.fill(terms.rate, terms.burst, now);
    m_starts.fill(terms.rate, terms.burst, now);
    slice_grant answer;
    // Programs under way come first: work has been done for them.
    answer.granted.others = grant_others(demand, terms);
    m_requests.take(answer.granted.others);
    answer.granted.starts = grant_starts(demand.waiting.starts, terms, now);
    m_requests.take(answer.granted.starts);
    m_size.record(answer.granted, now);

    if (answer.granted.others < demand.waiting.others)
    {
        answer.others_after = m_requests.until(1, terms.rate);
    }
    if (answer.granted.starts < demand.waiting.starts)
    {
        answer.starts_after = until_next_start(terms, now);
    }
    return answer;
}

milliseconds quota_slice::until_next_start(const slice_terms& terms, time_point now) const
{
    const auto room = m_requests.until(1 + kept_from_starts(terms, now), terms.rate);
    const bool paid = m_policy == start_policy::paid_ahead;
    const auto paid_off = paid ? m_starts.until(0, terms.rate) : milliseconds{0};
    return std::max({room, paid_off, milliseconds{1}});
}

} // namespace masticcourse::gateway

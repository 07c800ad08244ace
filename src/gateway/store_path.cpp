#include "masticcourse/gateway/store_path.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

/// Bounds on how long a call may take: a slow store is many times as slow as on a calm day.
constexpr milliseconds least_limit{300};
constexpr milliseconds most_limit{2'500};
/// How many times as long as usual a call may take.
constexpr double limit_factor = 8;
/// How many times as long as usual an answer may take before the call is repeated. A lost answer then costs
/// little of a turn's time, and a store that is merely slow gets few calls more, as what is usual follows it.
constexpr double repeat_factor = 3;
constexpr milliseconds least_repeat{60};
/// The share of the newest call in what is usual.
constexpr double newest_share = 0.1;
/// Refusals for the rate in a row that are taken for being turned away: a store that is merely busy lets
/// some calls of each gateway through.
constexpr std::uint32_t rate_limited_limit = 5;
/// Between two probes: the direct way is taken again that much after it is back, at most.
constexpr milliseconds probe_period{250};

} // namespace

void store_path::on_direct(hop_result result, milliseconds took, time_point now, bool probe)
{
    m_rate_limited = result == hop_result::rate_limited ? m_rate_limited + 1 : 0;
    switch (result)
    {
    case hop_result::answered:
    {
        m_cut_off_since.reset();
        m_no_way = false;
        m_usual_ms += newest_share * (static_cast<double>(took.count()) - m_usual_ms);
        const milliseconds limit{static_cast<milliseconds::rep>(m_usual_ms * limit_factor)};
        m_call_limit = std::clamp(limit, least_limit, most_limit);
        return;
    }
    case hop_result::turned_away:
        fail(now);
        return;
    case hop_result::rate_limited:
        if (m_rate_limited >= rate_limited_limit)
        {
            fail(now);
        }
        return;
    case hop_result::silent:
        m_last_failure = now;
        // A slow store is not an absent one: the next call may take longer.
        m_call_limit = std::min(m_call_limit * 2, most_limit);
        m_probe_wanted = true;
        if (probe)
        {
            fail(now);
        }
        return;
    }
}

void store_path::fail(time_point now)
{
    m_cut_off_since = m_cut_off_since.value_or(now);
    m_last_failure = now;
}

std::optional<duration> store_path::cut_off_for(time_point now) const
{
    return m_cut_off_since ? std::optional{now - *m_cut_off_since} : std::nullopt;
}

milliseconds store_path::repeat_after() const
{
    return std::max(least_repeat, milliseconds{static_cast<milliseconds::rep>(m_usual_ms * repeat_factor)});
}

bool store_path::take_probe(time_point now)
{
    const bool due = (m_cut_off_since || m_probe_wanted) && now >= m_last_probe + probe_period;
    if (due)
    {
        m_last_probe = now;
        m_probe_wanted = false;
    }
    return due;
}

void store_path::on_no_way(time_point now)
{
    m_no_way = true;
    m_last_failure = now;
}

duration store_path::steady_for(time_point now) const
{
    return m_last_failure ? now - *m_last_failure : now.time_since_epoch();
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/scheduling/processor_admission.hpp"

namespace masticcourse::gateway
{

namespace
{

/// A burst that the process can handle is over within this time.
constexpr milliseconds burst_time{100};

} // namespace

bool standing_delay::observe(duration delay, time_point now)
{
    const bool above = delay >= m_target;
    if (above != m_above)
    {
        m_above = above;
        m_since = now;
    }
    if (now - m_since >= burst_time)
    {
        m_standing = above;
    }
    return m_standing && above;
}

processor_load processor_admission::observe(duration delay, time_point now)
{
    const bool busy = m_busy.observe(delay, now);
    const bool overloaded = m_overload.observe(delay, now);
    if (overloaded)
    {
        return processor_load::overloaded;
    }
    return busy ? processor_load::busy : processor_load::normal;
}

} // namespace masticcourse::gateway

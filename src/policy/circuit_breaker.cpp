#include "masticcourse/policy/circuit_breaker.hpp"

#include <algorithm>

namespace masticcourse
{

circuit_breaker::circuit_breaker(const breaker_options& options) : m_options(options) {}

bool circuit_breaker::allows(core_time now) const
{
    switch (state(now))
    {
    case breaker_state::closed:
        return true;
    case breaker_state::open:
        return false;
    case breaker_state::half_open:
        break;
    }
    // A probe that is never answered must not exclude the target forever.
    const bool probes_timed_out = now >= m_half_open_at + m_options.max_open_duration;
    return m_state == breaker_state::open || m_probes_sent < m_options.half_open_probes || probes_timed_out;
}

void circuit_breaker::on_sent(core_time now)
{
    update_state(now);
    if (m_state != breaker_state::half_open)
    {
        return;
    }
    if (m_probes_sent >= m_options.half_open_probes)
    {
        m_probes_sent = 0;
        m_half_open_at = now;
    }
    ++m_probes_sent;
}

void circuit_breaker::on_success(core_time now)
{
    update_state(now);
    m_consecutive_failures = 0;
    if (m_state != breaker_state::half_open)
    {
        return;
    }
    ++m_probes_succeeded;
    if (m_probes_succeeded >= m_options.half_open_probes)
    {
        m_state = breaker_state::closed;
        m_open_duration = {};
    }
}

void circuit_breaker::on_failure(core_time now)
{
    update_state(now);
    if (m_state == breaker_state::open)
    {
        return;
    }
    ++m_consecutive_failures;
    if (m_state == breaker_state::half_open || m_consecutive_failures >= m_options.failure_threshold)
    {
        open(now);
    }
}

breaker_state circuit_breaker::state(core_time now) const
{
    const bool open_period_over = m_state == breaker_state::open && now >= m_half_open_at;
    return open_period_over ? breaker_state::half_open : m_state;
}

void circuit_breaker::open(core_time now)
{
    const bool is_first_opening = m_open_duration == core_duration::zero();
    m_open_duration = is_first_opening ? m_options.open_duration
                                       : std::min(m_open_duration * 2, m_options.max_open_duration);
    m_state = breaker_state::open;
    m_half_open_at = now + m_open_duration;
    m_consecutive_failures = 0;
}

void circuit_breaker::update_state(core_time now)
{
    if (m_state == breaker_state::open && now >= m_half_open_at)
    {
        m_state = breaker_state::half_open;
        m_probes_sent = 0;
        m_probes_succeeded = 0;
    }
}

} // namespace masticcourse

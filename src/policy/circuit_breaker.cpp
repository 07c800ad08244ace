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
    // A probe whose answer never comes must not keep the target out for ever.
    const bool probes_lost = now >= m_reopens + m_options.longest_open;
    return m_state == breaker_state::open || m_probes_sent < m_options.probes || probes_lost;
}

void circuit_breaker::on_sent(core_time now)
{
    settle(now);
    if (m_state != breaker_state::half_open)
    {
        return;
    }
    if (m_probes_sent >= m_options.probes)
    {
        m_probes_sent = 0;
        m_reopens = now;
    }
    ++m_probes_sent;
}

void circuit_breaker::on_success(core_time now)
{
    settle(now);
    m_failures = 0;
    if (m_state != breaker_state::half_open)
    {
        return;
    }
    ++m_probes_passed;
    if (m_probes_passed >= m_options.probes)
    {
        m_state = breaker_state::closed;
        m_open_for = {};
    }
}

void circuit_breaker::on_failure(core_time now)
{
    settle(now);
    if (m_state == breaker_state::open)
    {
        return;
    }
    ++m_failures;
    if (m_state == breaker_state::half_open || m_failures >= m_options.failures)
    {
        open(now);
    }
}

breaker_state circuit_breaker::state(core_time now) const
{
    const bool due = m_state == breaker_state::open && now >= m_reopens;
    return due ? breaker_state::half_open : m_state;
}

void circuit_breaker::open(core_time now)
{
    const bool first = m_open_for == core_duration::zero();
    m_open_for = first ? m_options.open_for : std::min(m_open_for * 2, m_options.longest_open);
    m_state = breaker_state::open;
    m_reopens = now + m_open_for;
    m_failures = 0;
}

void circuit_breaker::settle(core_time now)
{
    if (m_state == breaker_state::open && now >= m_reopens)
    {
        m_state = breaker_state::half_open;
        m_probes_sent = 0;
        m_probes_passed = 0;
    }
}

} // namespace masticcourse

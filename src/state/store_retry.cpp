#include "masticcourse/state/store_retry.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

namespace
{

/// SplitMix64: enough for jitter, and the same on every machine.
std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t it = state;
    it = (it ^ (it >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    it = (it ^ (it >> 27U)) * 0x94d049bb133111ebULL;
    return it ^ (it >> 31U);
}

} // namespace

core_duration jittered(core_duration mean, std::uint64_t& random)
{
    const auto width = static_cast<std::uint64_t>(mean.count()) + 1;
    return mean / 2 + core_duration{static_cast<core_duration::rep>(next_random(random) % width)};
}

store_retry::store_retry(retry_options options, std::uint64_t seed) : m_options(options), m_random(seed) {}

void store_retry::failed(core_time now)
{
    m_gap = m_gap == core_duration::zero() ? m_options.first_gap : std::min(m_gap * 2, m_options.longest_gap);
    m_ready_at = now + jittered(m_gap, m_random);
}

void store_retry::succeeded()
{
    m_gap = core_duration::zero();
    m_ready_at = core_time::min();
}

bool store_retry::allowed(core_time now) const
{
    return now >= m_ready_at;
}

core_time store_retry::ready_at() const
{
    return m_ready_at;
}

store_exchange::store_exchange(retry_options options, std::uint64_t seed) : m_retry(options, seed) {}

bool store_exchange::open(core_time now) const
{
    return !m_outstanding && m_retry.allowed(now);
}

void store_exchange::sent()
{
    m_outstanding = true;
}

bool store_exchange::outstanding() const
{
    return m_outstanding;
}

store_answer store_exchange::received(const store_reply& reply, core_time now)
{
    if (!std::exchange(m_outstanding, false))
    {
        return store_answer::none;
    }
    const bool lost = reply.status == store_status::outcome_unknown;
    if (lost || reply.status == store_status::unavailable)
    {
        m_retry.failed(now);
        return lost ? store_answer::lost : store_answer::refused;
    }
    m_retry.succeeded();
    return store_answer::settled;
}

core_time store_exchange::ready_at() const
{
    return m_outstanding ? core_time::max() : m_retry.ready_at();
}

} // namespace masticcourse

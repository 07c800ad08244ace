#include "masticcourse/policy/loop_guard.hpp"

#include <algorithm>

namespace masticcourse
{

loop_guard::loop_guard(const loop_limits& limits) : m_limits(limits) {}

problem_id loop_guard::check(std::uint64_t digest)
{
    if (m_turns >= m_limits.turns)
    {
        return problem_id::turn_limit;
    }
    const auto seen = std::ranges::count(m_recent, digest);
    if (seen >= static_cast<std::ptrdiff_t>(m_limits.repeats))
    {
        return problem_id::repeated_call;
    }
    ++m_turns;
    if (m_recent.size() < m_limits.window)
    {
        m_recent.push_back(digest);
        return problem_id::none;
    }
    m_recent[m_next] = digest;
    m_next = (m_next + 1) % m_recent.size();
    return problem_id::none;
}

} // namespace masticcourse

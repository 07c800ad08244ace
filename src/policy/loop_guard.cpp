#include "masticcourse/policy/loop_guard.hpp"

#include <algorithm>

namespace masticcourse
{

loop_guard::loop_guard(const loop_limits& limits) : m_limits(limits) {}

problem_id loop_guard::check(std::uint64_t digest)
{
    if (m_turns >= m_limits.max_turns)
    {
        return problem_id::turn_limit;
    }
    const auto occurrences = std::ranges::count(m_recent_digests, digest);
    if (occurrences >= static_cast<std::ptrdiff_t>(m_limits.max_repeats))
    {
        return problem_id::repeated_call;
    }
    ++m_turns;
    if (m_recent_digests.size() < m_limits.window)
    {
        m_recent_digests.push_back(digest);
        return problem_id::none;
    }
    m_recent_digests[m_next_index] = digest;
    m_next_index = (m_next_index + 1) % m_recent_digests.size();
    return problem_id::none;
}

} // namespace masticcourse

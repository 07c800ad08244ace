#include "masticcourse/gateway/scheduling/program_activity.hpp"

#include <cassert>

namespace masticcourse::gateway
{

program_activity::program_activity(std::size_t max_programs) : m_max_programs(max_programs)
{
    assert(max_programs > 0);
}

void program_activity::record(const program_id& program)
{
    if (const auto it = m_positions.find(program); it != m_positions.end())
    {
        m_order.splice(m_order.begin(), m_order, it->second);
        return;
    }
    m_order.push_front(program);
    m_positions.emplace(program, m_order.begin());
    if (m_order.size() > m_max_programs)
    {
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
}

bool program_activity::contains(const program_id& program) const
{
    return m_positions.contains(program);
}

} // namespace masticcourse::gateway

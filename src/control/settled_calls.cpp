#include "settled_calls.hpp"

#include <xxhash.h>

namespace masticcourse::detail
{

namespace
{

std::uint64_t digest_of_ref(const call_ref& call)
{
    const std::uint64_t program = XXH64(call.program.value.data(), call.program.value.size(), 0);
    return XXH64(call.key.value.data(), call.key.value.size(), program);
}

} // namespace

settled_calls::settled_calls(std::size_t limit, core_duration minimum) : m_limit(limit), m_minimum(minimum) {}

void settled_calls::settle(const call_ref& call, settlement how, core_time now)
{
    const std::uint64_t digest = digest_of_ref(call);
    if (!m_settled.emplace(digest, how).second)
    {
        return;
    }
    m_order.push_back({.at = now, .digest = digest});
    while (m_order.size() > m_limit && m_order.front().at + m_minimum <= now)
    {
        m_settled.erase(m_order.front().digest);
        m_order.pop_front();
    }
}

std::optional<settlement> settled_calls::find(const call_ref& call) const
{
    const auto it = m_settled.find(digest_of_ref(call));
    return it == m_settled.end() ? std::nullopt : std::optional{it->second};
}

bool settled_calls::full(core_time now) const
{
    return !m_order.empty() && m_order.size() >= m_limit && m_order.front().at + m_minimum > now;
}

} // namespace masticcourse::detail

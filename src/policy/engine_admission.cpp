#include "masticcourse/policy/engine_admission.hpp"

#include <algorithm>

namespace masticcourse
{

namespace
{

token_count uncached_prompt_tokens(const waiting_call& call)
{
    return std::max<token_count>(call.prompt_tokens - call.expected_cached, 0);
}

token_count max_total_tokens(const waiting_call& call)
{
    return call.prompt_tokens + call.max_tokens;
}

} // namespace

engine_admission::engine_admission(const engine_limits& limits) : m_limits(limits) {}

bool engine_admission::admits(const waiting_call& call) const
{
    if (m_running.empty())
    {
        return true;
    }
    const bool slot_available = m_running.size() < m_limits.max_running;
    const bool memory_available = m_tokens + max_total_tokens(call) <= m_limits.max_tokens;
    const bool prefill_fits =
        m_prefill == 0 || m_prefill + uncached_prompt_tokens(call) <= m_limits.max_prefill_tokens;
    return slot_available && memory_available && prefill_fits;
}

void engine_admission::on_started(const waiting_call& call)
{
    const running_call added{max_total_tokens(call), uncached_prompt_tokens(call), call.max_tokens};
    if (!m_running.emplace(call.call, added).second)
    {
        return;
    }
    m_tokens += added.tokens;
    m_prefill += added.prefill;
    m_decode += added.decode;
}

void engine_admission::on_prefilled(const call_ref& call)
{
    const auto it = m_running.find(call);
    if (it != m_running.end())
    {
        m_prefill -= it->second.prefill;
        it->second.prefill = 0;
    }
}

void engine_admission::on_finished(const call_ref& call)
{
    const auto it = m_running.find(call);
    if (it == m_running.end())
    {
        return;
    }
    m_tokens -= it->second.tokens;
    m_prefill -= it->second.prefill;
    m_decode -= it->second.decode;
    m_running.erase(it);
}

std::uint32_t engine_admission::running_count() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

bool engine_admission::full() const
{
    return m_running.size() >= m_limits.max_running;
}

token_count engine_admission::pending_prefill_tokens() const
{
    return m_prefill;
}

token_count engine_admission::pending_decode_tokens() const
{
    return m_decode;
}

} // namespace masticcourse

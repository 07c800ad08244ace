#include "masticcourse/policy/load_tracker.hpp"

#include <ranges>

namespace masticcourse
{

load_tracker::load_tracker(core_duration lag) : m_lag(lag) {}

void load_tracker::on_report(core_time now)
{
    m_reported = now;
    m_new_prefill = 0;
    m_new_decode = 0;
    for (auto& call : m_calls | std::views::values)
    {
        call.reported = call.sent <= now - m_lag;
        m_new_prefill += call.reported ? 0 : call.prefill;
        m_new_decode += call.reported ? 0 : call.decode;
    }
}

void load_tracker::on_sent(const call_ref& call, token_count prefill, token_count decode, core_time now)
{
    if (!m_calls.emplace(call, sent_call{prefill, decode, now}).second)
    {
        return;
    }
    m_new_prefill += prefill;
    m_new_decode += decode;
    m_all_prefill += prefill;
    m_all_decode += decode;
}

void load_tracker::on_ended(const call_ref& call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
    {
        return;
    }
    const auto& ended = it->second;
    m_new_prefill -= ended.reported ? 0 : ended.prefill;
    m_new_decode -= ended.reported ? 0 : ended.decode;
    m_all_prefill -= ended.prefill;
    m_all_decode -= ended.decode;
    m_calls.erase(it);
}

void load_tracker::fill(target_view& view, core_time now, core_duration lifetime) const
{
    const bool stale = now - m_reported > lifetime;
    view.in_flight_prefill = stale ? m_all_prefill : m_new_prefill;
    view.in_flight_decode = stale ? m_all_decode : m_new_decode;
    view.in_flight = static_cast<std::uint32_t>(m_calls.size());
}

std::size_t load_tracker::in_flight() const
{
    return m_calls.size();
}

} // namespace masticcourse

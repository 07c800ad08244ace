#include "masticcourse/policy/load_tracker.hpp"

#include <ranges>

namespace masticcourse
{

load_tracker::load_tracker(core_duration lag) : m_lag(lag) {}

void load_tracker::on_report(core_time now)
{
    m_last_report = now;
    m_unreported_prefill = 0;
    m_unreported_decode = 0;
    for (auto& call : m_calls | std::views::values)
    {
        call.in_report = call.sent <= now - m_lag;
        m_unreported_prefill += call.in_report ? 0 : call.prefill;
        m_unreported_decode += call.in_report ? 0 : call.decode;
    }
}

void load_tracker::on_sent(const call_ref& call, token_count prefill, token_count decode, core_time now)
{
    if (!m_calls.emplace(call, sent_call{prefill, decode, now}).second)
    {
        return;
    }
    m_unreported_prefill += prefill;
    m_unreported_decode += decode;
    m_total_prefill += prefill;
    m_total_decode += decode;
}

void load_tracker::on_ended(const call_ref& call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
    {
        return;
    }
    const auto& ended = it->second;
    m_unreported_prefill -= ended.in_report ? 0 : ended.prefill;
    m_unreported_decode -= ended.in_report ? 0 : ended.decode;
    m_total_prefill -= ended.prefill;
    m_total_decode -= ended.decode;
    m_calls.erase(it);
}

void load_tracker::apply_to(target_view& view, core_time now, core_duration report_lifetime) const
{
    const bool stale = now - m_last_report > report_lifetime;
    view.in_flight_prefill = stale ? m_total_prefill : m_unreported_prefill;
    view.in_flight_decode = stale ? m_total_decode : m_unreported_decode;
    view.in_flight = static_cast<std::uint32_t>(m_calls.size());
}

std::size_t load_tracker::in_flight() const
{
    return m_calls.size();
}

} // namespace masticcourse

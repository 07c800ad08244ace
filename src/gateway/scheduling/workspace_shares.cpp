#include "masticcourse/gateway/scheduling/workspace_shares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace masticcourse::gateway
{

namespace
{

using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Time constant of the averages. A gateway sees a few requests of a workspace in this time.
constexpr std::chrono::duration<double> share_time_constant{3};
constexpr milliseconds decay_interval{100};
/// Workspaces that asked for less than this are forgotten.
constexpr double min_requested_ms = 1;
/// Part of the fair share below which a workspace counts as below it. The rest covers random differences
/// between workspaces of equal load.
constexpr double below_share_margin = 0.65;

double cost_of(const admission_request& request)
{
    return std::max(min_requested_ms, real_milliseconds{request.expected_duration}.count());
}

} // namespace

void workspace_shares::record_arrival(const admission_request& request, time_point now)
{
    entry(request, now).requested += cost_of(request);
}

void workspace_shares::record_sent(const admission_request& request, time_point now)
{
    entry(request, now).served += cost_of(request);
}

bool workspace_shares::below_share(const admission_request& request) const
{
    const auto it = m_usage.find(request.workspace);
    return it == m_usage.end() || it->second.served < below_share_margin * fair_share(it->second.priority);
}

workspace_shares::usage& workspace_shares::entry(const admission_request& request, time_point now)
{
    decay(now);
    auto& it = m_usage[request.workspace];
    it.priority = request.priority;
    return it;
}

void workspace_shares::decay(time_point now)
{
    const auto elapsed = now - m_decayed;
    if (elapsed < decay_interval)
    {
        return;
    }
    m_decayed = now;
    const double factor = std::exp(-(std::chrono::duration<double>{elapsed} / share_time_constant));
    for (auto& [workspace, it] : m_usage)
    {
        it.requested *= factor;
        it.served *= factor;
    }
    std::erase_if(m_usage, [](const auto& it) { return it.second.requested < min_requested_ms; });
}

double workspace_shares::fair_share(std::uint32_t priority) const
{
    std::vector<double> requested;
    double left = 0;
    for (const auto& [workspace, it] : m_usage)
    {
        if (it.priority == priority)
        {
            requested.push_back(it.requested);
            left += it.served;
        }
    }
    std::ranges::sort(requested);
    auto sharers = static_cast<double>(requested.size());
    double share = 0;
    for (const auto it : requested)
    {
        share = left / sharers;
        if (it >= share)
        {
            break;
        }
        left -= it;
        --sharers;
    }
    return share;
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/quota/quota_account.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// How far back requests count for the rate at which they come, as a time constant.
constexpr real_seconds demand_memory{1};

std::size_t index_of(quota_need need)
{
    return static_cast<std::size_t>(need);
}

} // namespace

void portion_list::add(std::uint32_t requests, time_point expires)
{
    if (requests > 0)
    {
        m_portions.push_back({.requests = requests, .expires = expires});
    }
}

std::optional<quota_permit> portion_list::take(time_point now)
{
    std::erase_if(m_portions, [now](const portion& it) { return it.requests == 0 || it.expires <= now; });
    if (m_portions.empty())
    {
        return std::nullopt;
    }
    auto& oldest = m_portions.front();
    --oldest.requests;
    return quota_permit{.expires = oldest.expires};
}

void demand_rate::record(time_point now)
{
    m_recent = m_recent * std::exp(-(real_seconds{now - m_updated} / demand_memory)) + 1;
    m_updated = now;
}

std::uint32_t demand_rate::expected(milliseconds span, time_point now) const
{
    const auto recent = m_recent * std::exp(-(real_seconds{now - m_updated} / demand_memory));
    return static_cast<std::uint32_t>(recent * (real_seconds{span} / demand_memory));
}

void slice_pauses::pause(std::size_t slice, quota_need need, time_point until)
{
    m_until.at(index_of(need)).at(slice) = until;
}

bool slice_pauses::paused(std::size_t slice, quota_need need, time_point now) const
{
    return m_until.at(index_of(need)).at(slice) > now;
}

std::optional<time_point> slice_pauses::first_room(quota_need need, time_point now) const
{
    std::optional<time_point> first;
    for (const auto& it : m_until.at(index_of(need)))
    {
        if (it > now)
        {
            first = std::min(first.value_or(it), it);
        }
    }
    return first;
}

} // namespace masticcourse::gateway

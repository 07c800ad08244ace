#include "masticcourse/gateway/quota/quota_account.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

/// Time constant of the exponential average of the arrival rate.
constexpr real_seconds demand_time_constant{1};

std::size_t index_of(admission_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

void permit_pool::add(std::uint32_t requests, time_point expires)
{
    if (requests > 0)
    {
        m_batches.push_back({.requests = requests, .expires = expires});
    }
}

std::optional<quota_permit> permit_pool::take(time_point now)
{
    std::erase_if(m_batches, [now](const permit_batch& it) { return it.requests == 0 || it.expires <= now; });
    if (m_batches.empty())
    {
        return std::nullopt;
    }
    auto& oldest = m_batches.front();
    --oldest.requests;
    return quota_permit{.expires = oldest.expires};
}

void demand_rate::record(time_point now)
{
    m_recent = m_recent * std::exp(-(real_seconds{now - m_updated} / demand_time_constant)) + 1;
    m_updated = now;
}

std::uint32_t demand_rate::expected(milliseconds span, time_point now) const
{
    const auto recent = m_recent * std::exp(-(real_seconds{now - m_updated} / demand_time_constant));
    return static_cast<std::uint32_t>(recent * (real_seconds{span} / demand_time_constant));
}

void slice_backoffs::back_off(std::size_t slice, admission_kind kind, time_point until)
{
    m_until.at(index_of(kind)).at(slice) = until;
}

bool slice_backoffs::backed_off(std::size_t slice, admission_kind kind, time_point now) const
{
    return m_until.at(index_of(kind)).at(slice) > now;
}

std::optional<time_point> slice_backoffs::earliest_retry(admission_kind kind, time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& it : m_until.at(index_of(kind)))
    {
        if (it > now)
        {
            earliest = std::min(earliest.value_or(it), it);
        }
    }
    return earliest;
}

} // namespace masticcourse::gateway

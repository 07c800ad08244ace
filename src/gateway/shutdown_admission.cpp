#include "masticcourse/gateway/shutdown_admission.hpp"

#include <chrono>
#include <cmath>
#include <functional>
#include <string>

namespace masticcourse::gateway
{

namespace
{

using float_seconds = std::chrono::duration<double>;

/// @name The estimate of a duration, as that of a round trip (RFC 6298, 2): mean and deviation follow the
/// last dozens of samples, and a duration beyond the mean and four deviations is rare.
/// @{
constexpr double min_gain = 0.05;
constexpr double max_weight = 1'000;
constexpr double deviations = 4;
constexpr double min_samples = 4;
/// @}
/// Routes whose durations are remembered; where there are more, all are learned anew.
constexpr std::size_t max_routes = 4'096;
/// What a body that is still arriving may take beside. Bodies that take longer are rare, and are answered
/// when the requests in progress are ended.
constexpr milliseconds body_time{2'000};

std::size_t key_of(const route& it)
{
    constexpr std::size_t odd_factor = 31;
    return std::hash<std::string>{}(it.host) * odd_factor + std::hash<std::string>{}(it.prefix);
}

} // namespace

void shutdown_admission::begin(time_point now, time_point requests_end)
{
    m_grace = grace_period{now, requests_end};
}

void shutdown_admission::record(const route& matched_route, duration took)
{
    if (m_durations.size() >= max_routes)
    {
        m_durations.clear();
    }
    const usual_duration none{.mean = {min_gain, max_weight}, .deviation = {min_gain, max_weight}};
    auto& known = m_durations.try_emplace(key_of(matched_route), none).first->second;
    const auto sample = float_seconds{took}.count();
    if (known.mean.weight() > 0)
    {
        known.deviation.add(std::abs(sample - known.mean.mean()));
    }
    known.mean.add(sample);
}

std::optional<duration> shutdown_admission::usual_duration_of(const route& matched_route) const
{
    const auto it = m_durations.find(key_of(matched_route));
    if (it == m_durations.end() || it->second.mean.weight() < min_samples)
    {
        return std::nullopt;
    }
    const float_seconds usual{it->second.mean.mean() + deviations * it->second.deviation.mean()};
    return std::chrono::ceil<duration>(usual);
}

bool shutdown_admission::may_finish(const shutdown_query& query, time_point now) const
{
    if (!m_grace || query.deadline <= m_grace->end)
    {
        return true;
    }
    const auto unknown = (m_grace->end - m_grace->begin) * 3 / 4;
    const auto usual = usual_duration_of(query.matched_route).value_or(unknown);
    const duration beside = query.body_arriving ? body_time : milliseconds{0};
    return now + usual + beside <= m_grace->end;
}

} // namespace masticcourse::gateway

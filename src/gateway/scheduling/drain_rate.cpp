#include "masticcourse/gateway/scheduling/drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;
using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Time constant of the average. Capacity changes within seconds when targets slow down.
constexpr real_seconds rate_time_constant{3};
/// Completions needed before the observed rate is used. With fewer, its standard deviation is above
/// a third.
constexpr double min_completions = 8;
/// Longest time between two completions that is counted; a longer one is a pause of this process.
constexpr real_seconds max_gap{1};
/// Random deviation of Retry-After.
constexpr double retry_jitter = 0.25;

} // namespace

void drain_rate::completed(bool waiting, time_point now)
{
    const auto elapsed = std::clamp(real_seconds{now - m_updated}, real_seconds{0}, max_gap);
    m_updated = now;
    if (m_was_waiting)
    {
        const auto decay = std::exp(-(elapsed / rate_time_constant));
        m_completions = m_completions * decay + 1;
        m_seconds = m_seconds * decay + elapsed.count();
    }
    m_was_waiting = waiting;
}

double drain_rate::of_service(const service_room& room, double own_share) const
{
    const auto nominal = nominal_rate(room);
    if (m_completions < min_completions || m_seconds <= 0 || own_share <= 0)
    {
        return nominal;
    }
    const auto observed = m_completions / m_seconds / own_share;
    return nominal > 0 ? std::min(nominal, observed) : observed;
}

double nominal_rate(const service_room& room)
{
    const auto typical = real_seconds{room.typical_duration}.count();
    return typical > 0 ? room.slots / typical : 0;
}

milliseconds retry_after(double excess, double rate, const admission_options& options, std::mt19937& random)
{
    // The limits leave room for the deviation, so that refusals at a limit are spread as well.
    const double least = static_cast<double>(options.min_retry_after.count()) / (1 - retry_jitter);
    const double most =
        std::max(least, static_cast<double>(options.max_retry_after.count()) / (1 + retry_jitter));
    const auto drain_ms = rate > 0 ? excess / rate * milliseconds::period::den : most;
    std::uniform_real_distribution<double> deviation{1 - retry_jitter, 1 + retry_jitter};
    const auto span = real_milliseconds{std::clamp(drain_ms, least, most) * deviation(random)};
    return std::clamp(std::chrono::round<milliseconds>(span), options.min_retry_after,
                      options.max_retry_after);
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/time.hpp"

#include <ctime>

namespace masticcourse::gateway
{

time_point boottime_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto elapsed = std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(elapsed)};
}

} // namespace masticcourse::gateway

// What a gateway takes in while its callers send more than its processor handles.
#include "masticcourse/gateway/scheduling/processor_admission.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <deque>
#include <vector>

using namespace masticcourse::gateway;
using namespace std::chrono_literals;

namespace
{

struct observed_delay
{
    milliseconds at;
    milliseconds delay;
    processor_load load = processor_load::normal;
};

/// One processor and a queue. Each request takes @ref steps handlers, one after the other, each behind all
/// that are ready; a refusal takes one.
class simulated_processor
{
  public:
    struct result
    {
        std::size_t served = 0;
        /// Requests that were taken in and took longer than the time that their callers allow.
        std::size_t late = 0;
        std::size_t refused = 0;
    };

    /// @param interval between two requests
    [[nodiscard]] result run(milliseconds interval, bool admission)
    {
        constexpr milliseconds length{20'000};
        constexpr milliseconds allowed{1'000};
        result counted;
        milliseconds next{};
        for (milliseconds now{}; now < length; now += handler_time)
        {
            for (; next <= now; next += interval)
            {
                m_ready.push_back({.ready = now, .began = next});
            }
            if (m_ready.empty())
            {
                continue;
            }
            auto it = m_ready.front();
            m_ready.pop_front();
            const bool first = it.steps_done == 0;
            const auto load = first ? m_admission.observe(now - it.ready, time_point{now}) : processor_load{};
            if (admission && load != processor_load::normal)
            {
                ++counted.refused;
                continue;
            }
            it.ready = now;
            if (++it.steps_done < steps)
            {
                m_ready.push_back(it);
                continue;
            }
            ++(now - it.began > allowed ? counted.late : counted.served);
        }
        return counted;
    }

  private:
    struct waiting_request
    {
        milliseconds ready;
        milliseconds began;
        int steps_done = 0;
    };

    static constexpr milliseconds handler_time{1};
    static constexpr int steps = 10;

    processor_admission m_admission;
    std::deque<waiting_request> m_ready;
};

} // namespace

TEST_CASE("only a delay that stands for an interval is taken for a lack of processor time")
{
    using enum processor_load;
    const std::vector<std::vector<observed_delay>> series{
        // A burst.
        {{0ms, 400ms}, {90ms, 300ms}, {110ms, 40ms}, {120ms, 60ms}, {200ms, 60ms}},
        {{0ms, 60ms}, {100ms, 60ms, busy}, {300ms, 140ms, busy}, {310ms, 49ms}, {320ms, 60ms, busy}},
        // It ends with an interval below the target.
        {{0ms, 60ms}, {100ms, 60ms, busy}, {310ms, 49ms}, {410ms, 10ms}, {420ms, 60ms}},
        {{0ms, 160ms}, {100ms, 160ms, overloaded}, {150ms, 149ms, busy}, {200ms, 200ms, overloaded}},
    };
    for (const auto& delays : series)
    {
        processor_admission admission;
        for (const auto& it : delays)
        {
            CAPTURE(it.at.count());
            CHECK(admission.observe(it.delay, time_point{it.at}) == it.load);
        }
    }
}

// Load pattern: three times the requests that the processor handles. Taken in without a limit, all of them
// are served too late.
TEST_CASE("an overloaded processor serves in time nearly as many requests as it can, and refuses the others")
{
    constexpr auto capacity_interval = 10ms;
    constexpr std::size_t capacity = 2'000;
    const auto at_capacity = simulated_processor{}.run(capacity_interval, true);
    CHECK(at_capacity.refused == 0);
    for (const auto interval : {5ms, 3ms, 2ms})
    {
        CAPTURE(interval.count());
        const auto unlimited = simulated_processor{}.run(interval, false);
        const auto limited = simulated_processor{}.run(interval, true);
        CHECK(unlimited.served < capacity / 2);
        CHECK(limited.served > capacity / 2);
        CHECK(limited.late < limited.served / 10);
    }
}

// Tests of the pause estimator, of cache retention and of the load tracker.
#include "masticcourse/policy/cache_retention.hpp"
#include "masticcourse/policy/load_tracker.hpp"
#include "masticcourse/policy/pause_estimator.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

TEST_CASE("the pause estimator keeps a histogram per tool")
{
    pause_estimator estimator;
    const service_name fast_tool{"quick"};
    const service_name slow_tool{"slow"};
    for (int n = 0; n < 100; ++n)
    {
        estimator.record(fast_tool, 100ms);
        estimator.record(slow_tool, 60s);
    }
    CHECK(estimator.expected_remaining(fast_tool, 0s) < 200ms);
    CHECK(estimator.expected_remaining(slow_tool, 0s) > 40s);
    CHECK(estimator.expected_remaining(slow_tool, 30s) < estimator.expected_remaining(slow_tool, 0s));
    // A pause that is longer than any recorded one is expected to last as long again.
    CHECK(estimator.expected_remaining(fast_tool, 10min) == core_duration{10min});
    // A tool without samples uses the histogram over all tools.
    CHECK(estimator.expected_remaining({"new"}, 0s) > 10s);
}

TEST_CASE("cache retention")
{
    struct row
    {
        const char* name;
        engine_cache_state cache;
        std::string plan;
    };
    const std::vector<paused_prefix> paused{{{"a"}, 100, 1s}, {{"b"}, 100, 60s}, {{"c"}, 100, 5s}};
    const std::vector<row> table{
        {"no action below the high watermark", {.capacity = 1000, .used = 900}, ""},
        {"longest remaining pause first", {.capacity = 1000, .used = 940}, "-b"},
        {"as many as needed to reach the low watermark", {.capacity = 1000, .used = 1000}, "-b-c"},
        {"transfer if it is cheaper and fits",
         {.capacity = 1000,
          .used = 1000,
          .prefill_rate = 1,
          .transfer_rate = 100,
          .destination_free_tokens = 150},
         ">b-c"},
        {"eviction if a transfer is slower",
         {.capacity = 1000,
          .used = 1000,
          .prefill_rate = 100,
          .transfer_rate = 10,
          .destination_free_tokens = 900},
         "-b-c"},
    };
    const retention_options options{.high_watermark = 0.93, .low_watermark = 0.85};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        std::string plan;
        for (const auto& action : plan_retention(paused, it.cache, options))
        {
            plan += (action.action == retention_decision::transfer ? ">" : "-") + action.program.value;
        }
        CHECK(plan == it.plan);
    }
}

TEST_CASE("the load tracker counts work that a report does not include")
{
    load_tracker tracker{100ms};
    target_view view;
    const auto unreported_prefill_at = [&](core_time now)
    {
        tracker.apply_to(view, now, 5s);
        return view.in_flight_prefill;
    };
    const call_ref first{{"a"}, {"1"}};
    const call_ref second{{"b"}, {"1"}};
    tracker.on_report(core_time{});
    tracker.on_sent(first, 100, 10, core_time{} + 50ms);
    tracker.on_sent(second, 1000, 10, core_time{} + 240ms);
    CHECK(unreported_prefill_at(core_time{} + 250ms) == 1100);
    tracker.on_report(core_time{} + 250ms);
    CHECK(unreported_prefill_at(core_time{} + 250ms) == 1000);
    CHECK(view.in_flight == 2);
    // When the last report has expired, all outstanding work is counted.
    CHECK(unreported_prefill_at(core_time{} + 10s) == 1100);
    tracker.on_ended(second);
    CHECK(unreported_prefill_at(core_time{} + 260ms) == 0);
    tracker.on_ended(first);
    CHECK(unreported_prefill_at(core_time{} + 10s) == 0);
    CHECK(view.in_flight == 0);
}

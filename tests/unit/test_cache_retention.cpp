// Pauses learnt per tool, and which prefixes go when memory is short.
#include "masticcourse/policy/cache_retention.hpp"
#include "masticcourse/policy/load_tracker.hpp"
#include "masticcourse/policy/pause_estimator.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

TEST_CASE("pauses are learnt for each tool")
{
    pause_estimator estimator;
    const service_name quick{"quick"};
    const service_name slow{"slow"};
    for (int n = 0; n < 100; ++n)
    {
        estimator.record(quick, 100ms);
        estimator.record(slow, 60s);
    }
    CHECK(estimator.expected_rest(quick, 0s) < 200ms);
    CHECK(estimator.expected_rest(slow, 0s) > 40s);
    CHECK(estimator.expected_rest(slow, 30s) < estimator.expected_rest(slow, 0s));
    // One that has lasted longer than any before will last as long again.
    CHECK(estimator.expected_rest(quick, 10min) == core_duration{10min});
    // A tool that nobody has seen is like all of them together.
    CHECK(estimator.expected_rest({"new"}, 0s) > 10s);
}

TEST_CASE("retention")
{
    struct row
    {
        const char* name;
        cache_memory memory;
        std::string plan;
    };
    const std::vector<paused_prefix> paused{{{"a"}, 100, 1s}, {{"b"}, 100, 60s}, {{"c"}, 100, 5s}};
    const std::vector<row> table{
        {"nothing while there is memory", {.capacity = 1000, .used = 900}, ""},
        {"the longest rest first", {.capacity = 1000, .used = 940}, "-b"},
        {"as many as it takes", {.capacity = 1000, .used = 1000}, "-b-c"},
        {"moved where that is cheaper and fits",
         {.capacity = 1000, .used = 1000, .prefill_rate = 1, .transfer_rate = 100, .free_elsewhere = 150},
         ">b-c"},
        {"dropped where a move is slower",
         {.capacity = 1000, .used = 1000, .prefill_rate = 100, .transfer_rate = 10, .free_elsewhere = 900},
         "-b-c"},
    };
    const retention_options options{.high_mark = 0.93, .low_mark = 0.85};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        std::string plan;
        for (const auto& action : plan_retention(paused, it.memory, options))
        {
            plan += (action.action == retention::move ? ">" : "-") + action.program.value;
        }
        CHECK(plan == it.plan);
    }
}

TEST_CASE("the tracker counts own work that a report can't know of")
{
    load_tracker tracker{100ms};
    target_view view;
    const auto work_at = [&](core_time now)
    {
        tracker.fill(view, now, 5s);
        return view.in_flight_prefill;
    };
    const call_ref first{{"a"}, {"1"}};
    const call_ref second{{"b"}, {"1"}};
    tracker.on_report(core_time{});
    tracker.on_sent(first, 100, 10, core_time{} + 50ms);
    tracker.on_sent(second, 1000, 10, core_time{} + 240ms);
    CHECK(work_at(core_time{} + 250ms) == 1100);
    tracker.on_report(core_time{} + 250ms);
    CHECK(work_at(core_time{} + 250ms) == 1000);
    CHECK(view.in_flight == 2);
    // Once reports have stopped, all own work counts.
    CHECK(work_at(core_time{} + 10s) == 1100);
    tracker.on_ended(second);
    CHECK(work_at(core_time{} + 260ms) == 0);
    tracker.on_ended(first);
    CHECK(work_at(core_time{} + 10s) == 0);
    CHECK(view.in_flight == 0);
}

// Unit tests of event formatting, the hybrid logical clock, metrics and timelines.
#include "masticcourse/telemetry/hlc.hpp"
#include "masticcourse/telemetry/log.hpp"
#include "masticcourse/telemetry/metrics.hpp"
#include "masticcourse/telemetry/timeline.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <thread>

using namespace masticcourse;
using namespace std::chrono_literals;

TEST_CASE("format_event quotes values that would make a line ambiguous")
{
    struct row
    {
        const char* value;
        const char* text;
    };
    constexpr std::array table{row{"plain", "plain"},      row{"", "\"\""},
                               row{"a b", R"("a b")"},     row{"a\"b", R"("a\"b")"},
                               row{"a\nb", R"("a\x0ab")"}, row{"a\\b", R"("a\\b")"},
                               row{"a=b", R"("a=b")"},     row{"úrad", "úrad"}};
    for (const auto& it : table)
    {
        CHECK(format_event(event_id::peer_up, {{"peer", it.value}}) ==
              "E4001 peer_up peer=" + std::string{it.text});
    }
    CHECK(format_event(static_cast<event_id>(9999), {}) == "E9999 unlisted_event");
}

TEST_CASE("hybrid_clock issues strictly increasing timestamps")
{
    auto wall = 100us;
    hybrid_clock clock{[&] { return wall; }};
    const auto first = clock.now();
    CHECK(first == hlc_timestamp{100us, 0});
    SUBCASE("while the wall clock does not advance or steps back")
    {
        CHECK(clock.now() == hlc_timestamp{100us, 1});
        wall = 50us;
        CHECK(clock.now() == hlc_timestamp{100us, 2});
        wall = 101us;
        CHECK(clock.now() == hlc_timestamp{101us, 0});
    }
    SUBCASE("after observing a remote timestamp")
    {
        CHECK(clock.observe({500us, 7}) == hlc_timestamp{500us, 8});
        CHECK(clock.now() == hlc_timestamp{500us, 9});
        CHECK(clock.observe({200us, 0}) == hlc_timestamp{500us, 10});
    }
}

TEST_CASE("metrics are rendered in the Prometheus text format")
{
    metrics_registry registry;
    registry.get_counter("calls_total", "Calls.", {{"service", "a\"b"}}).add(3);
    registry.get_gauge("programs", "Programs.").set(-2);
    auto& histogram = registry.get_histogram("latency_seconds", "Latency.");
    histogram.record(1ms);
    histogram.record(1ms);
    histogram.record(2000s);
    const auto text = registry.render();
    for (const auto* line : {"# TYPE calls_total counter", R"(calls_total{service="a\"b"} 3)", "programs -2",
                             R"(latency_seconds_bucket{le="+Inf"} 3)", "latency_seconds_count 3",
                             "latency_seconds_sum 2000.002000", "# HELP programs Programs."})
    {
        CAPTURE(line);
        CHECK(text.find(std::string{line} + "\n") != std::string::npos);
    }
    CHECK(&registry.get_counter("calls_total", "", {{"service", "a\"b"}}) !=
          &registry.get_counter("calls_total", "", {}));
    CHECK_THROWS_AS(static_cast<void>(registry.get_gauge("calls_total", "")), std::logic_error);
}

TEST_CASE("histogram quantiles are accurate to the bucket width")
{
    latency_histogram histogram;
    CHECK(histogram.quantile(0.5) == 0us);
    for (int n = 1; n <= 1000; ++n)
    {
        histogram.record(std::chrono::microseconds{n * 1000});
    }
    const std::array<std::pair<double, double>, 3> table{{{0.5, 500e3}, {0.95, 950e3}, {0.99, 990e3}}};
    for (const auto& [q, expected] : table)
    {
        const auto measured = static_cast<double>(histogram.quantile(q).count());
        CHECK(measured >= expected);
        CHECK(measured <= expected * 1.4);
    }
    CHECK(std::ranges::is_sorted(histogram.buckets(), {}, &latency_histogram::bucket::cumulative));
}

TEST_CASE("a histogram counts every value recorded concurrently")
{
    latency_histogram histogram;
    constexpr int threads = 4;
    constexpr int records_per_thread = 2000;
    {
        std::vector<std::jthread> workers;
        workers.reserve(threads);
        for (int n = 0; n < threads; ++n)
        {
            workers.emplace_back(
                [&]
                {
                    for (int i = 0; i < records_per_thread; ++i)
                    {
                        histogram.record(5ms);
                    }
                });
        }
    }
    CHECK(histogram.count() == threads * records_per_thread);
    CHECK(histogram.buckets().back().cumulative == threads * records_per_thread);
}

namespace
{

timeline_event make_event(std::int64_t wall_us, event_id id, event_phase phase = event_phase::instant)
{
    return {.timestamp = {std::chrono::microseconds{wall_us}, 0},
            .id = id,
            .program = {"p"},
            .call = {"c"},
            .phase = phase,
            .fields = {{"n", std::to_string(wall_us)}}};
}

} // namespace

TEST_CASE("a timeline keeps the latest events in order")
{
    timeline line{{"entry-1"}, 3};
    for (int n = 1; n <= 5; ++n)
    {
        line.record(make_event(n, event_id::peer_up));
    }
    const auto events = line.events();
    REQUIRE(events.size() == 3);
    CHECK(line.dropped() == 2);
    CHECK(events.front().timestamp.wall == 3us);
    CHECK(events.back().timestamp.wall == 5us);
    SUBCASE("and can be exported and parsed back")
    {
        const auto parsed = parse_timeline(line.to_json());
        REQUIRE(parsed);
        CHECK(parsed->process.value == "entry-1");
        CHECK(parsed->dropped == 2);
        CHECK(parsed->events == events);
    }
}

TEST_CASE("parse_timeline rejects invalid exports")
{
    for (const auto* text : {"", "{}", "[]", R"({"process":"a","dropped":0,"events":[{}]})",
                             R"({"process":"a","dropped":0,"events":[{"wall_us":"x"}]})"})
    {
        CHECK_FALSE(parse_timeline(text));
    }
}

TEST_CASE("merged timelines are ordered by timestamp across processes")
{
    timeline a{{"a"}, 8};
    timeline b{{"b"}, 8};
    a.record(make_event(1, event_id::call_dispatched, event_phase::begin));
    b.record(make_event(2, event_id::call_started, event_phase::begin));
    b.record(make_event(3, event_id::call_ended, event_phase::end));
    a.record(make_event(4, event_id::call_finished, event_phase::end));
    a.record(make_event(5, event_id::call_finished, event_phase::end));
    const auto merged = merge_timelines({*parse_timeline(a.to_json()), *parse_timeline(b.to_json())});
    REQUIRE(merged.size() == 5);
    CHECK(std::ranges::is_sorted(merged, {}, &timeline_event::timestamp));

    SUBCASE("and the trace pairs span begins and ends by name and id")
    {
        const auto trace = nlohmann::json::parse(to_chrome_trace(merged));
        std::vector<std::string> phases;
        for (const auto& it : trace.at("traceEvents"))
        {
            if (it.at("ph") != "M")
            {
                phases.push_back(it.at("ph").get<std::string>() + ":" + it.at("name").get<std::string>());
            }
        }
        CHECK(phases == std::vector<std::string>{"b:call_dispatched", "b:call_started", "e:call_started",
                                                 "e:call_dispatched", "i:call_finished"});
    }
    SUBCASE("and the listing has one line per event")
    {
        const auto listing = to_listing(merged);
        CHECK(std::ranges::count(listing, '\n') == 5);
        CHECK(listing.starts_with(
            "1970-01-01T00:00:00.000001Z+0 a [ E2102 call_dispatched program=p call=c n=1\n"));
    }
}

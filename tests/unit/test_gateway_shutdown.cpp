// A planned stop of a gateway: which requests are still sent to targets, and what the others' callers get.
#include "masticcourse/gateway/shutdown_admission.hpp"

#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <string>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;
using gateway::shutdown_admission;

namespace
{

const gateway::route quick_route{.name = "quick", .host = "h", .prefix = "/quick/"};
const gateway::route slow_route{.name = "slow", .host = "h", .prefix = "/slow/"};
const gateway::route new_route{.name = "new", .host = "h", .prefix = "/new/"};

constexpr gateway::time_point start{};

/// Requests of two routes have been served; the requests in progress end 7 s after the start.
shutdown_admission stopping()
{
    shutdown_admission admission;
    for (int n = 0; n < 100; ++n)
    {
        admission.record(quick_route, 100ms + n % 10 * 2ms);
        admission.record(slow_route, 4s + n % 10 * 20ms);
    }
    admission.begin(start, start + 7s);
    return admission;
}

struct admission_case
{
    const char* name;
    const gateway::route& route;
    std::chrono::milliseconds sent;
    std::chrono::milliseconds deadline;
    bool body_arriving;
    bool may_finish;
};

const std::array admission_cases{
    admission_case{"quick, early", quick_route, 1s, 20s, false, true},
    admission_case{"quick, late", quick_route, 6'500ms, 20s, false, true},
    admission_case{"quick, at the end", quick_route, 6'950ms, 20s, false, false},
    admission_case{"quick, body arriving", quick_route, 4s, 20s, true, true},
    admission_case{"quick, body arriving late", quick_route, 5s, 20s, true, false},
    admission_case{"slow, early", slow_route, 2s, 20s, false, true},
    admission_case{"slow, body arriving", slow_route, 2s, 20s, true, false},
    admission_case{"slow, late", slow_route, 3s, 20s, false, false},
    admission_case{"slow, deadline before the end", slow_route, 3s, 6s, false, true},
    admission_case{"nothing known, early", new_route, 1s, 20s, false, true},
    admission_case{"nothing known, body arriving", new_route, 1s, 20s, true, false},
    admission_case{"nothing known, late", new_route, 2s, 20s, false, false},
    admission_case{"nothing known, deadline before the end", new_route, 4s, 7s, false, true},
    admission_case{"after the end", quick_route, 7'100ms, 7'600ms, false, false},
};

} // namespace

// Load: a gateway is stopped while callers go on sending on open connections.
TEST_CASE("a gateway that shuts down sends a request to a target only if it will be finished")
{
    const auto admission = stopping();
    for (const auto& it : admission_cases)
    {
        CAPTURE(it.name);
        const gateway::shutdown_query query{
            .matched_route = it.route, .deadline = start + it.deadline, .body_arriving = it.body_arriving};
        CHECK(admission.may_finish(query, start + it.sent) == it.may_finish);
    }
}

TEST_CASE("a gateway that does not shut down sends every request")
{
    const shutdown_admission admission;
    CHECK(admission.may_finish({.matched_route = new_route, .deadline = start + 60s}, start));
}

TEST_CASE("what requests of a route usually take follows the last ones")
{
    shutdown_admission admission;
    for (int n = 0; n < 200; ++n)
    {
        admission.record(quick_route, n < 100 ? 4s : 100ms);
    }
    admission.begin(start, start + 7s);
    CHECK(admission.may_finish({.matched_route = quick_route, .deadline = start + 20s}, start + 5s));
}

// Guards against: a request that may run once only is sent to a target late in a planned stop, and its caller
// gets no answer when the process ends.
TEST_CASE("a request that comes too late in a shutdown is refused as not executed at once")
{
    for (const std::string route : {"lookup", "order", "stream", "turn", "plan"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        world.shutdown.begin(world.time.now() - 6s, world.time.now() + 1s);
        const auto view =
            world.send(route == "turn" ? world.make_turn_request("r") : world.make_request(route, "r"));
        world.time.run(100ms);
        CHECK(world.sent.empty());
        REQUIRE(view->response);
        CHECK(view->response->status == 503);
        CHECK(body_of(*view) == "shutting_down");
    }
}

TEST_CASE("a request is not sent to a second target if it would not be finished there")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("lookup", "r"));
    world.time.run(100ms);
    world.shutdown.begin(world.time.now() - 6s, world.time.now() + 1s);
    world.last()->fail(http_failure::broken);
    world.time.run(100ms);
    CHECK(world.sent.size() == 1);
    REQUIRE(view->response);
    CHECK(view->response->status == 502);
}

// Guards against: what is in progress when the process ends is cut with no answer.
TEST_CASE("requests in progress are answered truthfully when the process ends")
{
    for (const std::string route : {"lookup", "order", "stream", "turn", "plan"})
    {
        for (const bool begun : {false, true})
        {
            CAPTURE(route);
            CAPTURE(begun);
            forwarding_fixture world;
            const auto view =
                world.send(route == "turn" ? world.make_turn_request("r") : world.make_request(route, "r"));
            world.time.run(100ms);
            const bool streams = route != "lookup" && route != "order";
            if (begun && streams)
            {
                world.last()->begin(200);
                world.last()->event(1, "x");
            }
            world.end_for_shutdown();
            CHECK(world.last()->cancelled);
            if (begun && streams)
            {
                CHECK(view->closed);
                CHECK_FALSE(view->ended);
                continue;
            }
            REQUIRE(view->response);
            CHECK(view->response->status == 502);
        }
    }
}

TEST_CASE("a request that waits for the store when the process ends is answered as not executed")
{
    forwarding_fixture world;
    world.currency = gateway::table_currency::out_of_date;
    world.refresh_time = 10s;
    const auto view = world.send(world.make_request("order", "r"));
    world.time.run(100ms);
    CHECK(world.sent.empty());
    world.end_for_shutdown();
    REQUIRE(view->response);
    CHECK(view->response->status == 503);
}

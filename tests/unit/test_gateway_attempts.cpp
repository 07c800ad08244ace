// The attempts of a forwarded request: which failures lead to another one, at which target, and what its
// caller is told in the end.
#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;

namespace
{

constexpr int status_unavailable = 503;
constexpr int status_bad_gateway = 502;

} // namespace

TEST_CASE("what happens to a request whose response is lost depends on its kind alone")
{
    struct row
    {
        const char* route;
        http_failure failure;
        std::size_t sent;
        int status;
    };
    constexpr std::array table{
        row{"lookup", http_failure::broken, 2, status_bad_gateway},
        row{"lookup", http_failure::timeout, 2, status_bad_gateway},
        row{"order", http_failure::broken, 1, status_bad_gateway},
        row{"order", http_failure::timeout, 1, status_bad_gateway},
        row{"stream", http_failure::broken, 1,
            status_bad_gateway}, // Nothing was sent: every target is tried, and the caller is told that the
                                 // request was not executed.
        row{"lookup", http_failure::connect, 3, status_unavailable},
        row{"order", http_failure::connect, 3, status_unavailable},
        row{"stream", http_failure::connect, 3, status_unavailable},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.route);
        CAPTURE(to_string(it.failure));
        forwarding_fixture world;
        const auto view = world.send(world.make_request(it.route, "r"));
        // Each failure may cause a retry.
        std::size_t failed = 0;
        while (failed < world.sent.size())
        {
            const auto next = world.sent[failed++];
            next->fail(it.failure);
        }
        CHECK(world.sent.size() == it.sent);
        REQUIRE(view->response);
        CHECK(view->response->status == it.status);
        std::set<std::string> targets;
        std::ranges::for_each(world.sent, [&](const auto& one) { targets.insert(one->request.address); });
        CHECK(targets.size() == it.sent);
        for (const auto* id : {"t0", "t1", "t2"})
        {
            CHECK(world.targets.find({id})->in_flight == 0);
        }
    }
}

// Guards against: sends of the transport that the request does not count, and an idle connection that the
// target has closed costing the caller the answer.
TEST_CASE("a request whose kept connection ended is sent again to the same target, as one of its attempts")
{
    struct row
    {
        const char* route;
        std::uint32_t max_attempts;
        server_state state;
        /// Targets in the order in which they get the request, if each of them loses it.
        std::vector<std::string> targets;
    };
    const std::array table{
        row{"lookup", 2, server_state::listening, {"t0", "t0"}},
        row{"lookup", 2, server_state::ended, {"t0", "t1"}},
        row{"lookup", 2, server_state::unknown, {"t0", "t1"}},
        row{"lookup", 1, server_state::listening, {"t0", "t0"}},
        row{"lookup", 1, server_state::ended, {"t0"}},
        row{"lookup", 3, server_state::listening, {"t0", "t0", "t0"}},
        row{"plan", 2, server_state::listening, {"t0", "t0"}},
        row{"order", 2, server_state::listening, {"t0"}},
        row{"stream", 2, server_state::listening, {"t0"}},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.route);
        CAPTURE(it.max_attempts);
        CAPTURE(static_cast<int>(it.state));
        forwarding_fixture world;
        world.checked_state = it.state;
        auto config = *world.config;
        std::ranges::for_each(config.routes, [&](route& one) { one.max_attempts = it.max_attempts; });
        world.config = std::make_shared<const gateway_config>(std::move(config));
        const auto view = world.send(world.make_request(it.route, "r"));
        // Each failure may cause a retry.
        std::size_t failed = 0;
        while (failed < world.sent.size())
        {
            const auto attempt = world.sent[failed++];
            CHECK(attempt->request.may_resend == false);
            attempt->fail(http_failure::broken, {.sends = 1, .kept_connection = true});
        }
        std::vector<std::string> targets;
        std::ranges::transform(world.sent, std::back_inserter(targets),
                               [](const auto& one) { return one->request.address; });
        CHECK(targets.size() == it.targets.size());
        const auto& first = targets.front();
        CHECK(std::ranges::count(targets, first) == std::ranges::count(it.targets, "t0"));
        REQUIRE(view->response);
        CHECK(view->response->status == status_bad_gateway);
    }
}

// Guards against: a request that has run at one target is reported as not executed when the next ones can't
// be reached.
TEST_CASE("a request that may have run is never reported as not executed")
{
    struct row
    {
        const char* name;
        void (*first)(upstream_request&);
    };
    const std::array table{
        row{"connection lost", [](upstream_request& it) { it.fail(http_failure::broken); }},
        row{"no answer in time", [](upstream_request& it) { it.fail(http_failure::timeout); }},
        row{"failed there", [](upstream_request& it) { it.end(500); }},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        forwarding_fixture world;
        const auto view = world.send(world.make_request("lookup", "r"));
        it.first(*world.sent.front());
        for (std::size_t n = 1; n < world.sent.size(); ++n)
        {
            world.sent[n]->fail(http_failure::connect, {});
        }
        REQUIRE(view->response);
        CHECK(view->response->status == status_bad_gateway);
    }
}

TEST_CASE("a request that a target states it did not execute is sent to another, up to the route's attempts")
{
    for (const auto* route : {"lookup", "order", "stream"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        const auto view = world.send(world.make_request(route, "r"));
        world.last()->refuse();
        CHECK(world.sent.size() == 2);
        world.last()->refuse();
        CHECK(world.sent.size() == 2);
        REQUIRE(view->response);
        CHECK(view->response->status == status_unavailable);
        CHECK(view->response->body == "targets_full");
        CHECK(find_header(view->response->headers, "retry-after"));
    }
}

TEST_CASE(
    "a refusal without the target's statement and a success without its signature count as lost responses")
{
    struct row
    {
        int status;
        bool marked;
    };
    constexpr std::array table{row{503, true}, row{429, true}, row{408, true}, row{200, false}};
    for (const auto& it : table)
    {
        CAPTURE(it.status);
        forwarding_fixture world;
        const auto view = world.send(world.make_request("order", "r"));
        world.last()->end(it.status, it.marked, "x");
        CHECK(world.sent.size() == 1);
        REQUIRE(view->response);
        CHECK(view->response->status == status_bad_gateway);
    }
}

TEST_CASE("a target's own failure is forwarded unchanged if the request may not be retried")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("order", "r"));
    world.last()->end(500, true, "its own words");
    REQUIRE(view->response);
    CHECK(view->response->status == 500);
    CHECK(view->response->body == "its own words");
}

// Guards against: one request that wants weights which its targets don't have takes them out of use for all
// requests.
TEST_CASE("what a target says of the version that a request wants is not believed of the target")
{
    forwarding_fixture world;
    auto request = world.make_request("lookup", "r");
    request.expects_version = true;
    const auto refused = world.send(std::move(request));
    // Each refusal may cause a retry.
    std::size_t refusals = 0;
    while (refusals < world.sent.size())
    {
        const auto next = world.sent[refusals++];
        next->misdirect();
    }
    REQUIRE(refused->response);
    CHECK(refused->response->status == status_unavailable);
    for (const auto* id : {"t0", "t1", "t2"})
    {
        CHECK_FALSE(world.targets.find({id})->replaced);
    }
    const auto next = world.send(world.make_request("order", "next"));
    CHECK(world.last()->request.target == "/order/1?q");
    world.last()->end(200);
    REQUIRE(next->response);
    CHECK(next->response->status == 200);
}

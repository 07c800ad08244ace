// Access control: keys, workspaces, and isolation between workspaces.
#include "support/forwarding_world.hpp"

#include "masticcourse/gateway/access/access_control.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

gateway_config with_workspaces(gateway_config config)
{
    config.workspaces =
        workspace_directory{{{.name = {"alpha"}, .keys = {"a1", "a2"}},
                             {.name = {"beta"}, .keys = {"b1"}, .quota = request_quota{40, 40}}}};
    return config;
}

/// Fixture with two workspaces that have keys.
struct keyed_world : forwarding_fixture
{
    keyed_world()
    {
        config = std::make_shared<const gateway_config>(with_workspaces(*config));
        quotas.set_config(config);
        time.run(10s);
    }

    gateway_request make_keyed_turn(const std::string& key, const std::string& id,
                                    const std::string& previous = "")
    {
        auto request = make_turn_request(id, previous);
        request.access_key = key;
        return request;
    }

    std::shared_ptr<caller_view> run_turn(const std::string& key, const std::string& id,
                                          const std::string& previous = "")
    {
        auto view = send(make_keyed_turn(key, id, previous));
        time.run(100ms);
        const auto target = last();
        target->begin(200);
        target->event("e of " + id);
        target->end(200);
        time.run(100ms);
        return view;
    }
};

} // namespace

TEST_CASE("a key grants access to its workspace; without a known key only open routes are accessible")
{
    gateway_config config;
    route closed;
    route open;
    open.allows_anonymous = true;
    CHECK(check_access(config, closed, "", true).outcome == access_outcome::open);
    config = with_workspaces(config);
    struct row
    {
        const route& requested_route;
        const char* key;
        bool current;
        access_outcome outcome;
        const char* owner;
    };
    const std::array table{
        row{closed, "a1", true, access_outcome::granted, "alpha"},
        row{closed, "a2", false, access_outcome::granted, "alpha"},
        row{closed, "b1", true, access_outcome::granted, "beta"},
        row{closed, "x", true, access_outcome::unknown_key, ""}, // A newer configuration may contain the key.
        row{closed, "x", false, access_outcome::undecided, ""},
        row{closed, "", false, access_outcome::unknown_key, ""},
        row{open, "", true, access_outcome::open, ""},
        row{open, "x", true, access_outcome::open, ""},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.key);
        const auto decision = check_access(config, it.requested_route, it.key, it.current);
        CHECK(decision.outcome == it.outcome);
        CHECK((decision.owner != nullptr ? decision.owner->name.value : "") == it.owner);
    }
}

TEST_CASE("a request without a known key is refused before any work is done for it")
{
    keyed_world world;
    for (const auto* key : {"", "x"})
    {
        auto request = world.make_request("lookup", "r");
        request.access_key = key;
        const auto view = world.send(request);
        CHECK(body_of(*view) == "unknown_key");
    }
    world.store.reported_reachable = false;
    auto request = world.make_request("lookup", "r");
    request.access_key = "x";
    const auto view = world.send(request);
    CHECK(body_of(*view) == "key_undecided");
    CHECK(find_header(view->response->headers, "retry-after"));
    CHECK(world.sent.empty());
}

TEST_CASE("turns and budgets are separate for each workspace, whatever ids callers choose")
{
    keyed_world world;
    CHECK(world.run_turn("a1", "t-1")->ended);
    // The other key of the same workspace continues the program.
    CHECK(world.run_turn("a2", "t-2", "t-1")->ended);
    CHECK(world.last()->request.body == "body of t-1;e of t-1\nbody of t-2;");
    const auto forged = world.send(world.make_keyed_turn("b1", "t-3", "t-1"));
    world.time.run(200ms);
    CHECK(body_of(*forged) == "no_such_turn");
    // In another workspace the same ids refer to other turns of another program.
    CHECK(world.run_turn("b1", "t-1")->ended);
    CHECK(world.run_turn("b1", "t-4", "t-1")->ended);
    CHECK(world.last()->request.body == "body of t-1;e of t-1\nbody of t-4;");
    CHECK(workspace_scoped_id({""}, request_id{"t"}).value == "t");
    CHECK(workspace_scoped_id({"w"}, request_id{"t"}) != workspace_scoped_id({"w2"}, request_id{"t"}));
}

TEST_CASE("turns stored before workspaces were configured are not accessible from a workspace")
{
    keyed_world world;
    const auto keyed = world.config;
    forwarding_fixture plain;
    world.config = plain.config;
    CHECK(world.run_turn("", "old")->ended);
    CHECK(world.run_turn("", "next", "old")->ended);
    world.config = keyed;
    const auto view = world.send(world.make_keyed_turn("a1", "other", "old"));
    world.time.run(200ms);
    CHECK(body_of(*view) == "no_such_turn");
}

TEST_CASE("requests beyond a workspace's quota are refused immediately; other workspaces are not affected")
{
    keyed_world world;
    std::size_t refused = 0;
    std::shared_ptr<caller_view> last;
    for (int n = 0; n < 200; ++n)
    {
        auto request = world.make_request("order", "r" + std::to_string(n));
        request.access_key = "b1";
        const auto view = world.send(request);
        world.time.run(1ms);
        if (view->response)
        {
            ++refused;
            last = view;
        }
    }
    CHECK(refused > 100);
    REQUIRE(last);
    CHECK(body_of(*last) == "over_quota");
    CHECK(find_header(last->response->headers, "retry-after"));
    CHECK(world.sent.size() == 200 - refused);
    auto request = world.make_request("order", "other");
    request.access_key = "a1";
    std::ignore = world.send(request);
    CHECK(world.sent.size() == 200 - refused + 1);
}

TEST_CASE(
    "a new permit is acquired if one expires before the request is sent, and for each further execution")
{
    keyed_world world;
    SUBCASE("expired permit")
    {
        // The budget covers only this turn, so the request waits until the reservation has been written.
        world.store.latency = 1'500ms;
        auto tight = world.make_turn_request("t-1", "", 100);
        tight.access_key = "b1";
        const auto view = world.send(tight);
        for (int n = 0; n < 100; ++n)
        {
            auto other = world.make_request("order", "r" + std::to_string(n));
            other.access_key = "b1";
            std::ignore = world.send(other);
            world.time.run(15ms);
        }
        const auto before = world.sent.size();
        auto other = world.make_request("order", "last");
        other.access_key = "b1";
        std::ignore = world.send(other);
        world.time.run(10ms);
        CHECK(world.sent.size() == before);
        CHECK(body_of(*view) == "over_quota");
    }
    SUBCASE("second execution")
    {
        auto request = world.make_request("lookup", "r");
        request.access_key = "b1";
        std::ignore = world.send(request);
        REQUIRE(world.sent.size() == 1);
        world.last()->fail(http_failure::broken);
        CHECK(world.sent.size() == 2);
    }
}

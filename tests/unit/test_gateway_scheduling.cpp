// Scheduling within request forwarding: which requests are sent, held back and refused while the engines are
// short of room, and which target they are sent to.
#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// Requests that the fixture's targets may have: 12 slots, and a tenth of them.
constexpr std::size_t fixture_room = 13;
constexpr int status_unavailable = 503;

/// A request to an engine of a program that has no other request.
gateway_request make_generation(const forwarding_fixture& world, const std::string& id)
{
    auto request = world.make_request("plan", id);
    request.program = program_context{.program = {"program of " + id}, .session = "program of " + id};
    request.generation = generation_request{.prompt_tokens = 1'000, .max_output = 100, .output_hint = 50};
    return request;
}

void complete(const upstream_request& sent)
{
    sent.begin(200);
    sent.event(1, "x");
}

/// Sends requests until the targets are full.
void fill(forwarding_fixture& world)
{
    for (std::size_t n = 0; n < fixture_room; ++n)
    {
        std::ignore = world.send(make_generation(world, "r" + std::to_string(n)));
    }
    REQUIRE(world.sent.size() == fixture_room);
}

/// Runs the sweeps that the gateway makes periodically.
void run_with_sweeps(forwarding_fixture& world, milliseconds span)
{
    constexpr milliseconds sweep_interval = 100ms;
    for (auto left = span; left > 0ms; left -= sweep_interval)
    {
        world.time.run(sweep_interval);
        world.scheduler.sweep(world.time.now());
    }
}

} // namespace

TEST_CASE("without admission control, requests are sent however full the targets are")
{
    forwarding_fixture world;
    constexpr std::size_t count = 40;
    for (std::size_t n = 0; n < count; ++n)
    {
        std::ignore = world.send(make_generation(world, "r" + std::to_string(n)));
    }
    CHECK(world.sent.size() == count);
    CHECK_FALSE(world.scheduler.schedules({"s"}, world.time.now()));
}

TEST_CASE("a request that finds no room is held back and sent when another one ends")
{
    forwarding_fixture world{{.admission = true}};
    fill(world);
    const auto view = world.send(make_generation(world, "held"));
    CHECK(world.sent.size() == fixture_room);
    CHECK_FALSE(view->response);
    complete(*world.sent.front());
    world.sent.front()->end(200);
    CHECK(world.sent.size() == fixture_room + 1);
}

TEST_CASE("a request that is held back until its caller gives up is refused as not executed")
{
    forwarding_fixture world{{.admission = true}};
    fill(world);
    const auto view = world.send(make_generation(world, "held"));
    run_with_sweeps(world, 2s);
    CHECK(world.sent.size() == fixture_room);
    REQUIRE(view->response);
    CHECK(view->response->status == status_unavailable);
}

TEST_CASE("a request whose caller leaves while it is held back is not sent")
{
    forwarding_fixture world{{.admission = true}};
    fill(world);
    const auto view = world.send(make_generation(world, "held"));
    view->on_closed();
    complete(*world.sent.front());
    world.sent.front()->end(200);
    run_with_sweeps(world, 500ms);
    CHECK(world.sent.size() == fixture_room);
}

TEST_CASE("a resumable stream outside of any program is served")
{
    for (const bool admission : {false, true})
    {
        CAPTURE(admission);
        forwarding_fixture world{{.admission = admission}};
        auto request = make_generation(world, "r");
        request.program.reset();
        const auto view = world.send(request);
        complete(*world.last());
        world.last()->end(200);
        CHECK(view->ended);
    }
}

TEST_CASE("a request that several targets refuse frees one slot")
{
    forwarding_fixture world{{.admission = true}};
    fill(world);
    const auto first = world.send(make_generation(world, "held 1"));
    const auto second = world.send(make_generation(world, "held 2"));
    world.sent.front()->refuse();
    REQUIRE(world.sent.size() == fixture_room + 1);
    complete(*world.last());
    world.last()->end(200);
    CHECK(world.sent.size() == fixture_room + 2);
}

TEST_CASE("a program that could not end in time is refused at its first turn, one under way waits")
{
    forwarding_fixture world{{.admission = true}};
    auto with_workspace = *world.config;
    with_workspace.workspaces = workspace_directory{{{.name = {"alpha"}, .keys = {"key"}}}};
    world.config = std::make_shared<const gateway_config>(with_workspace);
    world.scheduler.set_config(world.config);
    const auto send = [&world](const std::string& id, const std::string& program)
    {
        auto request = make_generation(world, id);
        request.access_key = "key";
        request.program =
            program_context{.program = {program}, .session = program, .time_left = milliseconds{300}};
        return world.send(request);
    };
    for (std::size_t n = 0; n < fixture_room; ++n)
    {
        std::ignore = send("r" + std::to_string(n), "p" + std::to_string(n));
    }
    REQUIRE(world.sent.size() == fixture_room);
    const auto under_way = send("next turn", "p0");
    const auto starting = send("first turn", "new");
    run_with_sweeps(world, 200ms);
    CHECK_FALSE(under_way->response);
    REQUIRE(starting->response);
    CHECK(starting->response->status == status_unavailable);
    CHECK(find_header(starting->response->headers, "retry-after"));
}

TEST_CASE("requests go to the targets that report that work takes less time there")
{
    forwarding_fixture world;
    const auto report = [&world](const std::string& id, double factor)
    { world.scheduler.on_report({"s"}, {{id}}, {.time_factor = factor}); };
    report("t0", 1.7);
    report("t1", 0.7);
    report("t2", 1.7);
    REQUIRE(world.scheduler.schedules({"s"}, world.time.now()));
    for (const auto* id : {"a", "b", "c", "d"})
    {
        std::ignore = world.send(make_generation(world, id));
        CHECK(world.last()->request.address == "t1");
    }
}

// What a caller gets when a target breaks off a response that has been passed on in part, and another target
// responds in another way.
#include "support/forwarding_world.hpp"

#include "masticcourse/net/sse.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// What the first target sends before it breaks off: nothing of it is an event.
const std::array<std::string, 10> outputs_without_event{
    ": c\n\n", ": c\r\n\r\n", ": c\r\r",   ": c\n\n: d\n\n",     "retry: 9\n\n",
    "\n",      "\r\n",        "id: 7\n\n", "event: started\n\n", std::string{byte_order_mark} + "\n\n"};

struct other_response
{
    int status;
    std::string body;
};

const std::array<other_response, 7> other_responses{{{500, "out of memory"},
                                                     {500, ""},
                                                     {404, "gone"},
                                                     {302, "elsewhere"},
                                                     {599, "odd"},
                                                     {204, ""},
                                                     {500, std::string(std::size_t{100} * 1024, 'x')}}};

/// A request on the resumable route, which the first target breaks off after @a output.
struct broken_off_fixture
{
    explicit broken_off_fixture(const std::string& output, std::uint32_t max_attempts = 2)
    {
        auto config = *world.config;
        config.routes[4].max_attempts = max_attempts;
        world.config = std::make_shared<const gateway::gateway_config>(std::move(config));
        view = world.send(world.make_request("plan", "r"));
        world.time.run(100ms);
        const auto first = world.last();
        first->begin(200);
        first->on_chunk(output);
        first->fail(http_failure::broken);
        world.time.run(100ms);
    }

    /// The next target responds as a whole.
    void respond(const other_response& it)
    {
        const auto next = world.last();
        next->begin(it.status);
        if (!it.body.empty())
        {
            next->on_chunk(it.body);
        }
        next->end(it.status);
        world.time.run(100ms);
    }

    forwarding_fixture world;
    std::shared_ptr<caller_view> view;
};

} // namespace

// Guards against: a caller gets a whole 200 with the text of another target's failure, since the header of a
// stream had been sent before its first event.
TEST_CASE("a stream that was begun does not end as whole with another target's failure")
{
    for (const auto& output : outputs_without_event)
    {
        for (const auto& other : other_responses)
        {
            CAPTURE(output);
            CAPTURE(other.status);
            broken_off_fixture it{output};
            REQUIRE(it.world.sent.size() == 2);
            it.respond(other);
            CHECK(it.view->closed);
            CHECK_FALSE(it.view->ended);
            CHECK(it.view->text == output);
            CHECK(it.world.outcomes == std::vector{gateway::request_outcome::broken_off});
        }
    }
}

TEST_CASE("a stream that was begun goes on with the next target that streams")
{
    for (const auto& output : outputs_without_event)
    {
        CAPTURE(output);
        broken_off_fixture it{output, 3};
        it.respond({500, "out of memory"});
        REQUIRE(it.world.sent.size() == 3);
        it.respond({200, format_sse({.id = "1", .data = "x"})});
        CHECK(it.view->ended);
        CHECK(it.view->stream_status == 200);
        CHECK(it.view->text == output + format_sse({.id = "1", .data = "x"}));
    }
}

TEST_CASE("a failure that follows a break before anything was sent reaches the caller as it is")
{
    for (const auto& other : other_responses)
    {
        CAPTURE(other.status);
        broken_off_fixture it{""};
        it.respond(other);
        CHECK(it.view->ended);
        const auto status =
            it.view->response ? it.view->response->status : it.view->stream_status.value_or(0);
        CHECK(status == other.status);
        CHECK((it.view->response ? it.view->response->body : it.view->text) == other.body);
    }
}

// Guards against: events of a second target in the body of the first one's failure.
TEST_CASE("a long failure that is broken off while it is passed on is not gone on with by another target")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("plan", "r"));
    world.time.run(100ms);
    const auto first = world.last();
    first->begin(404);
    first->on_chunk(std::string(std::size_t{100} * 1024, 'x'));
    first->fail(http_failure::broken);
    world.time.run(100ms);
    CHECK(world.sent.size() == 1);
    CHECK(view->stream_status == 404);
    CHECK(view->closed);
    CHECK_FALSE(view->ended);
}

// Guards against: the framing of a stream after a header that has no content.
TEST_CASE("a response without content on a streaming route is passed on as it is")
{
    for (const std::string route : {"stream", "plan", "turn"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        const auto view =
            world.send(route == "turn" ? world.make_turn_request("r") : world.make_request(route, "r"));
        world.time.run(100ms);
        world.last()->end(204);
        world.time.run(100ms);
        REQUIRE(view->response);
        CHECK(view->response->status == 204);
        CHECK_FALSE(view->stream_status);
    }
}

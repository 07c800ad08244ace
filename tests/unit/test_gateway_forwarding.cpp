// Request forwarding: which requests are retried, which output is held back until it is durable, and what
// callers are told.
#include "support/forwarding_world.hpp"

#include "masticcourse/gateway/partition.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// Checks that the remaining budget of the program "p" admits exactly @a turns more turns of 100 tokens.
void check_remaining_turns(forwarding_fixture& world, const std::string& route, std::size_t turns,
                           token_count budget)
{
    const auto sent = world.sent.size();
    for (std::size_t n = 0; n < turns; ++n)
    {
        std::ignore = world.send(world.make_budgeted_request(route, "further-" + std::to_string(n), budget));
        world.time.run(200ms);
    }
    CHECK(world.sent.size() == sent + turns);
    const auto over = world.send(world.make_budgeted_request(route, "beyond", budget));
    world.time.run(200ms);
    CHECK(body_of(*over) == "over_budget");
}

constexpr int status_bad_gateway = 502;

} // namespace

TEST_CASE("events are forwarded as received; an interrupted stream is never reported as complete")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("stream", "r"));
    world.last()->begin(200);
    world.last()->event("one");
    CHECK(view->text == "data: one\n\n");
    SUBCASE("complete")
    {
        world.last()->end(200);
        CHECK(view->ended);
    }
    SUBCASE("interrupted")
    {
        world.last()->fail(http_failure::broken);
        CHECK(view->closed);
        CHECK_FALSE(view->ended);
    }
    SUBCASE("the deadline")
    {
        world.time.run(3s);
        CHECK(view->closed);
        CHECK_FALSE(view->ended);
        CHECK(world.last()->cancelled);
    }
}

TEST_CASE("at the deadline a request is answered at once and its target is told to stop")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("order", "r"));
    world.time.run(1'999ms);
    CHECK_FALSE(view->response);
    world.time.run(1ms);
    REQUIRE(view->response);
    CHECK(view->response->status == status_bad_gateway);
    CHECK(world.last()->cancelled);
}

// Guards against requests that are held until the deadline that their callers have stated.
TEST_CASE("a request that has ended leaves no timer behind, however it has ended")
{
    forwarding_fixture world;
    const auto answered = world.send(world.make_request("order", "a"));
    world.last()->end(200, true, "done");
    REQUIRE(answered->response);
    const auto streamed = world.send(world.make_request("stream", "b"));
    world.last()->begin(200);
    world.last()->event("one");
    world.last()->end(200);
    CHECK(streamed->ended);
    std::ignore = world.send(world.make_request("order", "c"));
    CHECK(world.time.open_timers() > 0);
    world.last()->fail(http_failure::broken);
    const auto left = world.send(world.make_request("stream", "d"));
    left->on_closed();
    std::ignore = world.send(world.make_request("no such route", "e"));
    CHECK(world.time.open_timers() == 0);
}

TEST_CASE("a caller's disconnect cancels the request at the target")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("stream", "r"));
    REQUIRE(view->on_closed);
    view->on_closed();
    CHECK(world.last()->cancelled);
    CHECK(world.outcomes == std::vector{request_outcome::cancelled});
    CHECK(world.targets.find({world.last()->request.address})->in_flight == 0);
}

TEST_CASE("targets are told the remaining time: the caller's timeout less the elapsed time")
{
    forwarding_fixture world;
    std::ignore = world.send(world.make_request("lookup", "r"));
    CHECK(find_header(world.last()->request.headers, "left") == "2000");
    world.time.run(500ms);
    world.last()->fail(http_failure::broken);
    CHECK(find_header(world.last()->request.headers, "left") == "1500");
}

TEST_CASE("a turn's prompt contains the previous turns of its chain")
{
    forwarding_fixture world;
    std::ignore = world.complete_turn("a", "", {"one", "two"});
    std::ignore = world.complete_turn("b", "a", {"three"});
    std::ignore = world.send(world.make_turn_request("c", "b"));
    world.time.run(100ms);
    CHECK(world.last()->request.body == "body of a;one\ntwo\nbody of b;three\nbody of c;");
}

TEST_CASE("no token is sent to the caller before its reservation is durable")
{
    forwarding_fixture world;
    world.store.mode = store_mode::unresponsive;
    const auto view = world.send(world.make_turn_request("a"));
    world.last()->begin(200);
    world.last()->event("one");
    world.time.run(200ms);
    CHECK(view->text.empty());
    world.store.mode = store_mode::available;
    world.time.run(500ms);
    CHECK(view->text == "data: one\n\n");
}

TEST_CASE("the end of a turn is sent to the caller only once the turn is durable")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_turn_request("a"));
    world.time.run(100ms);
    world.last()->begin(200);
    world.last()->event("one");
    world.store.mode = store_mode::unresponsive;
    world.last()->end(200);
    world.time.run(500ms);
    CHECK(view->text == "data: one\n\n");
    CHECK_FALSE(view->ended);
    SUBCASE("the store returns in time")
    {
        world.store.mode = store_mode::available;
        world.time.run(500ms);
        CHECK(view->ended);
    }
    SUBCASE("the store stays unreachable: the response is aborted")
    {
        world.time.run(3s);
        CHECK(view->closed);
        CHECK_FALSE(view->ended);
    }
}

TEST_CASE(
    "near the budget's limit a turn is not sent before its reservation, and is refused without execution")
{
    forwarding_fixture world;
    std::ignore = world.complete_turn("a", "", {"1", "2", "3", "4", "5"});
    std::ignore = world.complete_turn("b", "a", {"1", "2", "3", "4", "5"});
    const auto sent = world.sent.size();
    // 100 of 150 tokens are spent, and the turn may generate 100.
    const auto view = world.send(world.make_turn_request("c", "b", 150));
    CHECK(world.sent.size() == sent);
    world.time.run(200ms);
    CHECK(world.sent.size() == sent);
    CHECK(body_of(*view) == "over_budget");
}

TEST_CASE("a turn whose previous turn is missing is refused; if that can't be read, the caller may retry")
{
    forwarding_fixture world;
    const auto missing = world.send(world.make_turn_request("a", "none"));
    world.time.run(200ms);
    CHECK(body_of(*missing) == "no_such_turn");
    world.store.mode = store_mode::refusing;
    const auto unreadable = world.send(world.make_turn_request("b", "none"));
    world.time.run(200ms);
    CHECK(body_of(*unreadable) == "store_away");
    CHECK(find_header(unreadable->response->headers, "retry-after"));
    CHECK(world.sent.empty());
}

TEST_CASE(
    "while the store is unreachable, requests that depend on it are refused at once; tool calls continue")
{
    forwarding_fixture world;
    std::ignore = world.complete_turn("a", "", {"1"});
    world.store.reported_reachable = false;
    world.store.mode = store_mode::refusing;
    const auto sent = world.sent.size();
    // It is not certain that the turn fits the budget.
    const auto tight = world.send(world.make_turn_request("b", "a", 150));
    CHECK(body_of(*tight) == "store_away");
    CHECK(find_header(tight->response->headers, "retry-after"));
    // The previous turn is not cached here.
    const auto stranger = world.send(world.make_turn_request("c", "elsewhere"));
    world.time.run(20ms);
    CHECK(body_of(*stranger) == "store_away");
    CHECK(world.sent.size() == sent);
    const auto tool = world.send(world.make_request("order", "d"));
    world.last()->end(200, true, "done");
    CHECK(body_of(*tool) == "done");
}

TEST_CASE("while the store is unreachable, a turn that certainly fits the budget runs; its output waits")
{
    forwarding_fixture world;
    std::ignore = world.complete_turn("a", "", {"1"});
    world.store.reported_reachable = false;
    world.store.mode = store_mode::refusing;
    const auto view = world.send(world.make_turn_request("b", "a"));
    world.last()->begin(200);
    world.last()->event("2");
    world.last()->end(200);
    world.time.run(1s);
    CHECK(view->text.empty());
    CHECK_FALSE(view->ended);
    SUBCASE("it returns in time")
    {
        world.store.mode = store_mode::available;
        world.time.run(500ms);
        CHECK(view->text == "data: 2\n\n");
        CHECK(view->ended);
    }
    SUBCASE("it stays unreachable: the deadline ends the wait, and the turn is not reported as not executed")
    {
        world.time.run(2s);
        REQUIRE(view->response);
        CHECK(view->response->status == status_bad_gateway);
    }
}

TEST_CASE("a turn whose caller disconnected is charged the tokens sent, and leaves no reservation")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_turn_request("a", "", 420));
    world.time.run(100ms);
    world.last()->begin(200);
    world.last()->event("1");
    view->on_closed();
    world.time.run(1s);
    // 420 tokens less one event of 10 leave room for four turns of 100.
    check_remaining_turns(world, "turn", 4, 420);
}

TEST_CASE(
    "a reservation that becomes durable after the last event does not end a turn that is not durable yet")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_turn_request("a"));
    world.time.run(5ms);
    world.last()->begin(200);
    world.last()->event("one");
    world.last()->end(200);
    CHECK(view->text.empty());
    // The reservation was written first, the turn five milliseconds later.
    world.time.run(7ms);
    CHECK(view->text == "data: one\n\n");
    CHECK_FALSE(view->ended);
    world.time.run(10ms);
    CHECK(view->ended);
}

TEST_CASE("a budget holds on every route of streams, whether or not its turns are stored")
{
    for (const auto* route : {"stream", "turn", "plan"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        // 250 tokens admit two concurrent turns of 100, and a third only after those ended with fewer tokens.
        const auto first = world.send(world.make_budgeted_request(route, "a", 250));
        const auto second = world.send(world.make_budgeted_request(route, "b", 250));
        world.time.run(200ms);
        CHECK(world.sent.size() == 2);
        const auto third = world.send(world.make_budgeted_request(route, "c", 250));
        world.time.run(200ms);
        CHECK(world.sent.size() == 2);
        CHECK(body_of(*third) == "over_budget");
        for (const auto& it : world.sent)
        {
            it->begin(200);
            it->event(1, "one");
            it->end(200);
        }
        world.time.run(500ms);
        CHECK(first->ended);
        CHECK(second->ended);
        const auto fourth = world.send(world.make_budgeted_request(route, "d", 250));
        world.time.run(200ms);
        CHECK(world.sent.size() == 3);
    }
}

// Guards against budgets that stay short because the gateway is killed after the end of a turn that no record
// but the settlement tells of.
TEST_CASE("what a turn cost is written at its end if no stored turn tells it")
{
    struct ending
    {
        const char* route;
        bool refused;
        bool joined;
    };
    for (const auto& it :
         {ending{"stream", false, false}, ending{"plan", false, false}, ending{"turn", false, true},
          ending{"stream", true, false}, ending{"turn", true, false}})
    {
        CAPTURE(it.route);
        CAPTURE(it.refused);
        forwarding_fixture world;
        const auto view = world.send(world.make_budgeted_request(it.route, "a"));
        world.time.run(100ms);
        if (it.refused)
        {
            world.last()->refuse();
            world.last()->refuse();
        }
        else
        {
            world.last()->begin(200);
            world.last()->event(1, "one");
            world.last()->end(200);
        }
        // One transaction for the stored turn, and one for the settlement.
        world.time.run(25ms);
        REQUIRE(view->ended);
        const auto read_row = [&world]
        {
            const auto rows = world.rows.read({.table = "spending", .partition = partition_of("p")}).rows;
            REQUIRE(rows.size() == 1);
            return decode_spending(rows.front().value).value();
        };
        CHECK(read_row().reserved.empty() == !it.joined);
        world.time.run(1s);
        CHECK(read_row().reserved.empty());
        CHECK(read_row().spent == (it.refused ? 0 : 10));
    }
}

TEST_CASE("no token of a stream with a budget is sent before its reservation is durable, stored or not")
{
    for (const auto* route : {"stream", "plan"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        world.store.mode = store_mode::unresponsive;
        const auto view = world.send(world.make_budgeted_request(route, "a"));
        world.last()->begin(200);
        world.last()->event(1, "one");
        world.last()->end(200);
        world.time.run(200ms);
        CHECK(view->text.empty());
        CHECK_FALSE(view->ended);
        world.store.mode = store_mode::available;
        world.time.run(500ms);
        CHECK(view->text == "id: 1\ndata: one\n\n");
        CHECK(view->ended);
    }
}

TEST_CASE("a stored turn needs no budget")
{
    forwarding_fixture world;
    auto first = world.make_request("turn", "a");
    const auto view = world.send(first);
    world.last()->begin(200);
    world.last()->event("one");
    world.last()->end(200);
    CHECK_FALSE(view->ended);
    world.time.run(100ms);
    CHECK(view->ended);
    auto next = world.make_request("turn", "b");
    next.program = program_context{.program = {"p"}, .previous_turn = request_id{"a"}};
    std::ignore = world.send(next);
    world.time.run(100ms);
    CHECK(world.last()->request.body == "body of a;one\nbody of b;");
}

TEST_CASE("a stream that may be resumed continues at another target after its last complete event")
{
    struct row
    {
        const char* name;
        std::size_t events;
        /// Received part of the event in which the target's response was interrupted.
        const char* partial;
        http_failure failure;
    };
    constexpr std::array table{
        row{"before its first event", 0, "", http_failure::broken},
        row{"in the middle of the first event", 0, "id: 1\nda", http_failure::broken},
        row{"between two events", 2, "", http_failure::broken},
        row{"in the middle of a later event", 2, "id: 3\ndata: thr", http_failure::broken},
        row{"before the blank line", 2, "id: 3\ndata: three\n", http_failure::timeout},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        forwarding_fixture world;
        const auto view = world.send(world.make_request("plan", "r"));
        const auto first = world.last();
        first->begin(200);
        for (std::size_t n = 1; n <= it.events; ++n)
        {
            first->event(static_cast<int>(n), "x");
        }
        first->on_chunk(it.partial);
        first->fail(it.failure);
        REQUIRE(world.sent.size() == 2);
        const auto second = world.last();
        CHECK(second->request.address != first->request.address);
        const auto after = find_header(second->request.headers, "after");
        CHECK(after.value_or("0") == std::to_string(it.events));
        second->begin(200);
        for (std::size_t n = it.events + 1; n <= 4; ++n)
        {
            second->event(static_cast<int>(n), "x");
        }
        second->end(200);
        CHECK(view->ended);
        CHECK(view->text == "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n");
    }
}

TEST_CASE("all attempts of a resumed stream together respect the attempt limit, deadline, budget and order")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_budgeted_request("plan", "r", 400));
    world.time.run(100ms);
    world.last()->begin(200);
    world.last()->event(1, "x");
    world.last()->event(2, "x");
    const auto first = world.last();
    first->fail(http_failure::broken);
    const auto second = world.last();
    REQUIRE(second != first);
    SUBCASE("no attempt is left: the response is not reported as complete")
    {
        second->begin(200);
        second->event(3, "x");
        second->fail(http_failure::broken);
        CHECK(world.sent.size() == 2);
        CHECK(view->closed);
        CHECK_FALSE(view->ended);
    }
    SUBCASE("a target that starts over is abandoned: no event is duplicated")
    {
        second->begin(200);
        second->event(1, "x");
        CHECK(view->closed);
        CHECK(view->text == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
    }
    SUBCASE("a target that refuses to resume does not complete the stream")
    {
        second->end(404, true, "no such stream");
        CHECK(view->closed);
        CHECK_FALSE(view->ended);
    }
    SUBCASE("the deadline bounds all attempts")
    {
        world.time.run(2s);
        CHECK(view->closed);
        CHECK(second->cancelled);
    }
    SUBCASE("the caller disconnects")
    {
        view->on_closed();
        CHECK(second->cancelled);
    }
    SUBCASE("the tokens sent by all attempts are charged: 30 of 400 leave room for three more turns")
    {
        second->begin(200);
        second->event(3, "x");
        second->end(200);
        CHECK(view->ended);
        world.time.run(1s);
        CHECK(world.sent.size() == 2);
        check_remaining_turns(world, "plan", 3, 400);
    }
}

TEST_CASE("a target that stalls in the middle of a resumable stream is abandoned and cancelled")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("plan", "r"));
    const auto first = world.last();
    first->begin(200);
    first->event(1, "x");
    world.time.run(700ms);
    CHECK(world.sent.size() == 1);
    world.time.run(200ms);
    REQUIRE(world.sent.size() == 2);
    CHECK(first->cancelled);
    world.last()->begin(200);
    world.last()->event(2, "x");
    world.last()->end(200);
    CHECK(view->ended);
    CHECK(view->text == "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

TEST_CASE("a caller's resumption is forwarded; for a stored turn it is refused, as its start is unknown")
{
    forwarding_fixture world;
    auto resumed = world.make_request("plan", "r");
    resumed.last_event_id = "3";
    std::ignore = world.send(resumed);
    CHECK(find_header(world.last()->request.headers, "after") == "3");
    world.last()->begin(200);
    world.last()->event(4, "x");
    world.last()->fail(http_failure::broken);
    CHECK(find_header(world.last()->request.headers, "after") == "4");

    auto kept = std::make_shared<gateway_config>(*world.config);
    kept->routes[3].resumable = true;
    world.config = kept;
    auto turn = world.make_turn_request("t");
    turn.last_event_id = "3";
    const auto sent = world.sent.size();
    const auto view = world.send(turn);
    CHECK(world.sent.size() == sent);
    CHECK(body_of(*view) == "not_resumable");
}

TEST_CASE("a replaced target instance is not tried again, costs no attempt, and is not reported as full")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("order", "r"));
    const auto dead = world.last()->request.address;
    world.last()->misdirect();
    REQUIRE(world.sent.size() == 2);
    world.last()->refuse();
    REQUIRE(world.sent.size() == 3);
    world.last()->end(200, true, "done");
    CHECK(body_of(*view) == "done");
    for (int n = 0; n < 10; ++n)
    {
        std::ignore = world.send(world.make_request("order", "s" + std::to_string(n)));
        CHECK(world.last()->request.address != dead);
    }
    forwarding_fixture other;
    const auto refused = other.send(other.make_request("order", "r"));
    // Each response may cause a retry.
    std::size_t answered = 0;
    while (answered < other.sent.size())
    {
        const auto next = other.sent[answered++];
        next->misdirect();
    }
    CHECK(body_of(*refused) == "no_target");
}

TEST_CASE(
    "streams of one program go to one target, where its prompt is cached, whether or not they are stored")
{
    for (const auto* route : {"stream", "turn", "plan"})
    {
        CAPTURE(route);
        forwarding_fixture world;
        std::set<std::string> targets;
        for (int n = 0; n < 8; ++n)
        {
            const auto view = world.send(world.make_budgeted_request(route, "r" + std::to_string(n), 10'000));
            world.time.run(50ms);
            targets.insert(world.last()->request.address);
            world.last()->begin(200);
            world.last()->event(1, "x");
            world.last()->end(200);
            world.time.run(50ms);
            CHECK(view->ended);
        }
        CHECK(targets.size() == 1);
    }
}

// Load pattern: programs whose consecutive turns arrive through different failure domains. A target with the
// cached prompt is preferable to a nearby one.
TEST_CASE(
    "a program's turns stay in the domain that ran the previous one, whichever domain they arrive through")
{
    forwarding_fixture world;
    for (const auto* it : {"t0", "t1", "t2"})
    {
        world.targets.withdraw({it});
    }
    for (int n = 0; n < 4; ++n)
    {
        for (const std::string domain : {"here", "there"})
        {
            const auto id = domain + std::to_string(n);
            world.targets.put({.id = {id}, .service = {"s"}, .address = id, .domain = {domain}, .slots = 4});
        }
    }
    world.services.own_domain = {"here"};
    world.complete_turn("a", "", {"x"});
    const auto home = world.last()->request.address;
    CHECK(home.starts_with("here"));
    world.services.own_domain = {"there"};
    world.complete_turn("b", "a", {"x"});
    CHECK(world.last()->request.address == home);
    std::ignore = world.send(world.make_request("lookup", "c"));
    CHECK(world.last()->request.address.starts_with("there"));
}

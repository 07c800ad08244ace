// Complete gateways on loopback against stand-ins of the platform: the main use case, store faults, store
// access through a peer, graceful shutdown.
#include "gateway_fixture.hpp"

#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/gateway/spending_row.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;
using standins::table_fault;

namespace
{

/// Reads a program's row from the store.
std::optional<gateway::spending_row> read_spending(gateway_process& through, const std::string& program)
{
    std::promise<gateway::query_reply> promise;
    boost::asio::post(through.loop.context(),
                      [&]
                      {
                          through.store.query({.table = "spending",
                                               .partition = gateway::partition_of(program),
                                               .from = program,
                                               .to = program + ' '},
                                              [&](gateway::query_reply it)
                                              { promise.set_value(std::move(it)); });
                      });
    const auto reply = promise.get_future().get();
    return reply.rows.empty() ? std::nullopt : gateway::decode_spending(reply.rows.front().value);
}

} // namespace

TEST_CASE("a turn, a tool call, and the next turn through another gateway")
{
    platform_fixture world;
    gateway_process first{loopback(world.store.port()), "first"};
    gateway_process second{loopback(world.store.port()), "second"};
    world.wait_ready(first);
    world.wait_ready(second);

    const auto turn = world.send(first, "/turn/1", "a1");
    CHECK(turn.status == 200);
    CHECK(turn.header("Masticcourse-Response-Signature") == "by-i-engine");
    CHECK(turn.body == "id: 1\ndata: a1-1\n\nid: 2\ndata: a1-2\n\nid: 3\ndata: a1-3\n\n");
    CHECK(world.send(first, "/tool/1", "b1").body == "answer to b1");
    CHECK(world.send(second, "/turn/1", "a2", "a1").status == 200);
    REQUIRE(world.engine.requests().size() == 2);
    CHECK(world.engine.requests()[1].body == "input of a1;a1-1\na1-2\na1-3\ninput of a2;");
    CHECK(world.app.requests().size() == 1);

    CHECK(world.send(second, "/turn/1", "a3", "none").status == 404);
    CHECK(world.send(second, "/elsewhere/1", "a4").status == 404);
    CHECK(world.engine.requests().size() == 2);
}

TEST_CASE("before the first configuration no request is refused as unknown")
{
    io_threads threads{1};
    standins::table_service empty{threads.context(), "127.0.0.1:0"};
    gateway_process gateway{loopback(empty.port()), "only"};
    REQUIRE(eventually([&] { return gateway.started.load(); }));
    platform_fixture world;
    CHECK_FALSE(world.ready(gateway));
    const auto refused = world.send(gateway, "/turn/1", "a1");
    CHECK(refused.status == 503);
    CHECK(refused.header("Retry-After"));
    empty.put("op", "config", gateway_config);
    world.wait_ready(gateway);
    CHECK(world.send(gateway, "/elsewhere/1", "a2").status == 404);
    threads.stop();
}

TEST_CASE("a new configuration and a draining target are read from the change feed, also after the store "
          "discarded its history")
{
    platform_fixture world;
    gateway_process gateway{loopback(world.store.port()), "only"};
    world.wait_ready(gateway);
    CHECK(world.send(gateway, "/tool/1", "b1").status == 200);
    world.store.truncate_history();
    world.store.put("servers", "i-app", world.app.registry_entry("app", "draining"));
    REQUIRE(eventually([&] { return world.send(gateway, "/tool/1", "b2").status == 503; }));
    std::string later = gateway_config;
    later.replace(later.find("\"version\":7"), 11, "\"version\":8");
    later.replace(later.find("/tool/"), 6, "/other/");
    world.store.put("op", "config", later);
    REQUIRE(eventually([&] { return world.send(gateway, "/tool/1", "b3").status == 404; }));
    // A configuration that is not newer is ignored.
    world.store.put("op", "config", gateway_config);
    CHECK(world.send(gateway, "/tool/1", "b4").status == 404);
}

TEST_CASE("lost responses of the store only cause delay")
{
    platform_fixture world;
    gateway_process gateway{loopback(world.store.port()), "only"};
    world.wait_ready(gateway);
    world.store.set_fault(table_fault::lose_answers);
    boost::asio::steady_timer back{world.threads.context(), 300ms};
    back.async_wait([&](auto) { world.store.set_fault(table_fault::none); });
    const auto turn = world.send(gateway, "/turn/1", "a1");
    CHECK(turn.status == 200);
    CHECK(turn.body.size() == std::string("id: 1\ndata: a1-1\n\n").size() * 3);
    CHECK(world.send(gateway, "/turn/1", "a2", "a1").status == 200);
}

TEST_CASE("a gateway cut off from the store uses a peer; without one it refuses turns and serves tool calls")
{
    platform_fixture world;
    // A second route to the store would need a proxy; instead, the gateway is cut off by changing its store
    // address.
    gateway_process near{loopback(world.store.port()), "near"};
    gateway_process cut_off{loopback(world.store.port()), "cut-off"};
    world.wait_ready(near);
    world.wait_ready(cut_off);
    // After the next refresh of the peer list, both gateways know each other's address.
    std::this_thread::sleep_for(3'200ms);
    boost::asio::post(cut_off.loop.context(), [&] { cut_off.store.set_address("127.0.0.1:1"); });
    CHECK(eventually(
        [&]
        { return world.send(cut_off, "/turn/1", "a" + std::to_string(world.store.calls())).status == 200; }));
    world.store.set_fault(table_fault::refuse);
    REQUIRE(eventually([&] { return world.send(cut_off, "/turn/1", "c1", "", "150").status == 503; }));
    CHECK(world.send(cut_off, "/tool/1", "b1").status == 200);
    world.store.set_fault(table_fault::none);
    CHECK(eventually(
        [&]
        { return world.send(cut_off, "/turn/1", "d" + std::to_string(world.store.calls())).status == 200; }));
}

TEST_CASE("a stopping gateway is not ready, answers late requests, announces the close, and exits")
{
    platform_fixture world;
    gateway_process gateway{loopback(world.store.port()), "only"};
    world.wait_ready(gateway);
    std::atomic<bool> stopped = false;
    boost::asio::post(gateway.loop.context(), [&] { gateway.gateway.stop([&] { stopped = true; }); });
    REQUIRE(eventually([&] { return !world.ready(gateway); }));
    const auto late = world.send(gateway, "/turn/1", "a1");
    CHECK(late.status == 200);
    CHECK(late.header("Connection") == "close");
    CHECK(eventually([&] { return stopped.load(); }));
}

// Guards against programs that are refused for good because a stopped gateway left the reservations of its
// last turns in their budgets.
TEST_CASE("a stopping gateway writes what its last turns cost before it exits")
{
    platform_fixture world;
    gateway_process stopping{loopback(world.store.port()), "stopping"};
    gateway_process other{loopback(world.store.port()), "other"};
    world.wait_ready(stopping);
    world.wait_ready(other);
    std::atomic<bool> stopped = false;
    boost::asio::post(stopping.loop.context(), [&] { stopping.gateway.stop([&] { stopped = true; }); });
    // The turn ends when the shutdown has nothing else left to wait for.
    world.engine.set_response_time(3'500ms);
    REQUIRE(world.send(stopping, "/turn/1", "a1").status == 200);
    REQUIRE(eventually([&] { return stopped.load(); }));
    stopping.stop();
    const auto row = read_spending(other, "p");
    REQUIRE(row);
    CHECK(row->reserved.empty());
    CHECK(row->spent == 30);
}

TEST_CASE(
    "a target whose entry vanishes more than two seconds after the store's return gets no more requests")
{
    platform_fixture world;
    gateway_process gateway{loopback(world.store.port()), "only"};
    world.wait_ready(gateway);
    world.store.set_fault(table_fault::refuse);
    std::this_thread::sleep_for(300ms);
    world.store.set_fault(table_fault::none);
    std::this_thread::sleep_for(2'600ms);
    CHECK(world.send(gateway, "/tool/1", "b1").status == 200);
    world.store.remove("servers", "i-app");
    std::this_thread::sleep_for(700ms);
    CHECK(world.send(gateway, "/tool/1", "b2").status == 503);
}

// Complete gateways on loopback against stand-ins of the platform: the main use case, store faults, store
// access through a peer, graceful shutdown.
#include "support/test_seed.hpp"

#include "request_codec.hpp"
#include "row_codec.hpp"
#include "row_store_client.hpp"

#include "masticcourse/gateway/gateway.hpp"
#include "masticcourse/gateway/io_delay.hpp"

#include "net_fixture.hpp"
#include "platform_target.hpp"
#include "table_service.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;
using standins::table_fault;

namespace
{

/// @return an address whose port was free on a bind check and is not handed out twice by this process. Ports
/// lie below the ephemeral range: an outgoing connection once took an ephemeral port before the gateway could
/// listen on it.
std::string free_address(boost::asio::io_context& context)
{
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t end = 32'000;
    static std::uint16_t next = []
    {
        std::random_device random;
        return std::uniform_int_distribution<std::uint16_t>{first, end - 1}(random);
    }();
    while (true)
    {
        const boost::asio::ip::tcp::endpoint chosen{boost::asio::ip::address_v4::loopback(), next};
        next = next + 1 < end ? static_cast<std::uint16_t>(next + 1) : first;
        boost::asio::ip::tcp::acceptor acceptor{context, chosen.protocol()};
        boost::system::error_code ec;
        acceptor.bind(chosen, ec);
        if (!ec)
        {
            return loopback(chosen.port());
        }
    }
}

/// The components of one gateway process, running on their own thread.
struct gateway_process
{
    gateway_process(const std::string& store_address, const std::string& node)
        : callers(free_address(threads.context())), readiness(free_address(threads.context())),
          peer_address(free_address(threads.context())), peers({peer_address, 1, {"here"}}, test_seed()),
          store(threads.context(), {store_address, peer_address}, peers,
                gateway::make_io_delay(threads.context()), metrics),
          gateway(threads.context(),
                  {.node = node,
                   .frontend_address = callers,
                   .readiness_address = readiness,
                   .readiness_path = "/readyz",
                   .peer_address = peer_address,
                   .own_domain = {"here"},
                   .cache_bytes = 1'000'000,
                   .row_bytes = 10'000,
                   .stop_grace = 8s},
                  protocol, store, peers, platform::make_table_decoders(), metrics)
    {
        boost::asio::post(
            threads.context(),
            [this]
            {
                store.serve(gateway::gateway::commit_path, [this](const auto& request, const auto& exchange)
                            { gateway.serve_commits(request, exchange); });
                store.serve(gateway::gateway::overdraft_path,
                            [this](const auto& request, const auto& exchange)
                            { gateway.serve_overdraft(request, exchange); });
                store.serve(gateway::gateway::feed_path, [this](const auto& request, const auto& exchange)
                            { gateway.serve_feed(request, exchange); });
                store.start();
                gateway.start();
                started = true;
            });
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;
    ~gateway_process()
    {
        threads.stop();
    }

    io_threads threads{1};
    std::atomic<bool> started = false;
    std::string callers;
    std::string readiness;
    std::string peer_address;
    metrics_registry metrics;
    gateway::peer_directory peers;
    platform::platform_protocol protocol;
    platform::row_store_client store;
    gateway::gateway gateway;
};

constexpr const char* config = R"({"version":7,"routes":[
  {"name":"turns","host":"h","prefix":"/turn/","type":"streaming","timeoutMs":5000,"service":"llm","maxAttempts":2,
   "retentionEnabled":true,"retentionS":60.0},
  {"name":"tool","host":"h","prefix":"/tool/","type":"non_idempotent","service":"app","timeoutMs":5000}],
  "services":[{"name":"llm","engine":{"tokensPerEvent":10}},{"name":"app"}]})";

/// The platform: a store, an engine and a plain service. Gateways share the store, or each has its own
/// address for it.
struct platform_fixture
{
    platform_fixture()
    {
        store.put("op", "config", config);
        store.put("servers", "i-engine", engine.registry_entry("llm", "ready"));
        store.put("servers", "i-app", app.registry_entry("app", "ready"));
    }
    platform_fixture(const platform_fixture&) = delete;
    platform_fixture(platform_fixture&&) = delete;
    platform_fixture& operator=(const platform_fixture&) = delete;
    platform_fixture& operator=(platform_fixture&&) = delete;
    ~platform_fixture()
    {
        threads.stop();
    }

    http_client_reply send(const gateway_process& to, const std::string& path, const std::string& id,
                           const std::string& previous = "", const std::string& budget = "1000")
    {
        http_client_request request{.address = to.callers,
                                    .method = "POST",
                                    .target = path,
                                    .body = "input of " + id + ";",
                                    .headers = {{"Host", "h"},
                                                {"Masticcourse-Request-Id", id},
                                                {"Masticcourse-Program-Id", "p"},
                                                {"Masticcourse-Token-Budget", budget},
                                                {"Masticcourse-Token-Usage", "10,100"}}};
        if (!previous.empty())
        {
            request.headers.push_back({"Masticcourse-Previous-Turn", previous});
        }
        auto reply = fetch(client, std::move(request));
        if (reply.failure != http_failure::none)
        {
            MESSAGE("no answer to ", id, ": ", std::string{to_string(reply.failure)});
        }
        return reply;
    }

    bool ready(const gateway_process& it)
    {
        return fetch(client, {.address = it.readiness, .target = "/readyz"}).status == 200;
    }

    void wait_ready(const gateway_process& it)
    {
        REQUIRE(eventually([&] { return ready(it); }));
    }

    io_threads threads{1};
    standins::table_service store{threads.context(), "127.0.0.1:0"};
    standins::platform_target engine{threads.context(), "127.0.0.1:0", "i-engine", true};
    standins::platform_target app{threads.context(), "127.0.0.1:0", "i-app", false};
    http_client client{threads.context()};
};

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
    empty.put("op", "config", config);
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
    std::string later = config;
    later.replace(later.find("\"version\":7"), 11, "\"version\":8");
    later.replace(later.find("/tool/"), 6, "/other/");
    world.store.put("op", "config", later);
    REQUIRE(eventually([&] { return world.send(gateway, "/tool/1", "b3").status == 404; }));
    // A configuration that is not newer is ignored.
    world.store.put("op", "config", config);
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
    boost::asio::post(cut_off.threads.context(), [&] { cut_off.store.set_address("127.0.0.1:1"); });
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
    boost::asio::post(gateway.threads.context(), [&] { gateway.gateway.stop([&] { stopped = true; }); });
    REQUIRE(eventually([&] { return !world.ready(gateway); }));
    const auto late = world.send(gateway, "/turn/1", "a1");
    CHECK(late.status == 200);
    CHECK(late.header("Connection") == "close");
    CHECK(eventually([&] { return stopped.load(); }));
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

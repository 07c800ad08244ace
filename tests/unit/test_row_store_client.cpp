// The client for the platform's store, tested against the stand-in with an unresponsive or unreachable store.
#include "support/test_seed.hpp"

#include "row_store_client.hpp"

#include "masticcourse/gateway/io_delay.hpp"
#include "masticcourse/net/http_server.hpp"

#include "net_fixture.hpp"
#include "scripted_server.hpp"
#include "table_service.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

struct client_fixture
{
    client_fixture()
        : peers({"127.0.0.1:1", 1}, test_seed()),
          client(threads.context(), {loopback(store.port()), "127.0.0.1:0"}, peers,
                 gateway::make_io_delay(threads.context()), metrics)
    {
    }
    client_fixture(const client_fixture&) = delete;
    client_fixture(client_fixture&&) = delete;
    client_fixture& operator=(const client_fixture&) = delete;
    client_fixture& operator=(client_fixture&&) = delete;
    ~client_fixture()
    {
        threads.stop();
        store_threads.stop();
    }

    /// Makes an asynchronous call and waits for its callback.
    /// @return the reply passed to the callback
    template <typename Reply, typename Call>
    Reply wait_for(Call call)
    {
        std::promise<Reply> done;
        auto reply = done.get_future();
        boost::asio::post(threads.context(),
                          [&] { call([&done](Reply it) { done.set_value(std::move(it)); }); });
        return reply.get();
    }

    io_threads store_threads{1};
    standins::table_service store{store_threads.context(), "127.0.0.1:0"};
    io_threads threads{1};
    metrics_registry metrics;
    gateway::peer_directory peers;
    platform::row_store_client client;
};

/// Peer gateways that relay calls, or report that they can't reach the store either.
class peer_group
{
  public:
    explicit peer_group(int count)
    {
        for (int n = 0; n < count; ++n)
        {
            m_servers.push_back(std::make_unique<http_server>(
                m_threads.context(), "127.0.0.1:0", http_limits{},
                [this, n](const http_request&, const auto& exchange)
                {
                    ++request_count;
                    if (silent)
                    {
                        m_unanswered.push_back(exchange);
                        return;
                    }
                    const bool relays = n == relaying_peer;
                    exchange->respond(
                        relays ? http_response{.body = R"({"rows":[],"ver":1,"nowMs":1,"hasMore":false})",
                                               .headers = {{"Call-Status", "200"}}}
                               : http_response{.status = 503, .body = "{}"});
                }));
        }
    }
    peer_group(const peer_group&) = delete;
    peer_group(peer_group&&) = delete;
    peer_group& operator=(const peer_group&) = delete;
    peer_group& operator=(peer_group&&) = delete;
    ~peer_group()
    {
        m_threads.stop();
    }

    [[nodiscard]] std::vector<gateway::peer> list() const
    {
        std::vector<gateway::peer> peers;
        std::ranges::transform(m_servers, std::back_inserter(peers),
                               [](const auto& it) {
                                   return gateway::peer{loopback(it->port()), 1};
                               });
        return peers;
    }

    std::atomic<int> request_count = 0;
    /// The index of the peer that relays calls; -1 if there is none.
    std::atomic<int> relaying_peer = -1;
    /// Peers accept calls and never reply.
    std::atomic<bool> silent = false;

  private:
    io_threads m_threads{1};
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
    std::vector<std::unique_ptr<http_server>> m_servers;
};

} // namespace

// Load pattern: the store rejects half of all gateways, and later all of them. Each call of a gateway that
// can't reach the store is relayed: it must try enough peers to find a working one while there is one, and
// few during a full outage.
TEST_CASE(
    "a call finds the only one of six peers that can reach the store; in a full outage it tries one peer")
{
    peer_group group{6};
    group.relaying_peer = 4;
    client_fixture fixture;
    fixture.client.set_address("127.0.0.1:1");
    fixture.peers.set(group.list());
    const auto query_succeeds = [&]
    {
        return fixture
            .wait_for<gateway::query_reply>([&](auto done) { fixture.client.query({.table = "t"}, done); })
            .answered;
    };
    CHECK(query_succeeds());
    CHECK(fixture.client.direct_path_down_for());
    CHECK(fixture.client.reachable());
    group.request_count = 0;
    // From now on, the peer that relayed the call is tried first.
    CHECK(query_succeeds());
    CHECK(group.request_count == 1);
    group.relaying_peer = -1;
    CHECK_FALSE(query_succeeds());
    CHECK_FALSE(fixture.client.reachable());
    group.request_count = 0;
    CHECK_FALSE(query_succeeds());
    CHECK(group.request_count <= 1);
}

// Regression: a feed call that hung for the full timeout of a slow call delayed the news that a target was
// draining, and a request was sent to the target two seconds after it had begun to drain.
TEST_CASE("a feed call that hangs fails soon after its wait, regardless of the current call timeout")
{
    client_fixture fixture;
    fixture.store.set_fault(standins::table_fault::unresponsive);
    for (int n = 0; n < 4; ++n)
    {
        // Each timeout increases the timeout of the next call.
        std::ignore = fixture.wait_for<gateway::query_reply>([&](auto done)
                                                             { fixture.client.query({.table = "t"}, done); });
    }
    const auto start_time = std::chrono::steady_clock::now();
    const auto reply =
        fixture.wait_for<gateway::feed_reply>([&](auto done) { fixture.client.follow("t", 0, 1s, done); });
    CHECK(reply.outcome == gateway::feed_outcome::failed);
    // Expected: 1.5 s, or 3.5 s with the fault; the bound leaves a margin for loaded machines.
    CHECK(std::chrono::steady_clock::now() - start_time < 3s);
}

// Regression: a wait for changes that hung was repeated for its whole length at each of two peers, which hung
// as well: 4.5 s without a change of the configuration, which must arrive within 3 s.
TEST_CASE("a wait for changes that hangs is not repeated in full at peers that are silent as well")
{
    peer_group group{3};
    group.silent = true;
    client_fixture fixture;
    fixture.peers.set(group.list());
    fixture.store.set_fault(standins::table_fault::unresponsive);
    const auto start_time = std::chrono::steady_clock::now();
    const auto reply =
        fixture.wait_for<gateway::feed_reply>([&](auto done) { fixture.client.follow("t", 0, 1s, done); });
    CHECK(reply.outcome == gateway::feed_outcome::failed);
    CHECK(group.request_count == 2);
    CHECK(std::chrono::steady_clock::now() - start_time < 3s);
}

// Guards against: a store or a peer fails in the middle of a response, and the cut response passes for the
// store's.
TEST_CASE("a response of the store or of a peer that was cut off counts as none")
{
    const std::string whole = R"({"rows":[],"ver":1,"nowMs":1,"hasMore":false})";
    const std::string cut = R"({"rows":[],"ver":1)";
    const auto length = "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n";
    const auto framed_whole = length + whole;
    const std::string relayed = "HTTP/1.1 200 OK\r\nCall-Status: 200\r\n";
    const std::array cut_bodies{length + cut, "Transfer-Encoding: chunked\r\n\r\n12\r\n" + cut + "\r\n",
                                "\r\n" + cut};
    const auto query = [](client_fixture& fixture)
    {
        return fixture.wait_for<gateway::query_reply>([&](auto done)
                                                      { fixture.client.query({.table = "t"}, done); });
    };
    SUBCASE("a peer: the next one is asked")
    {
        for (const auto& body : cut_bodies)
        {
            CAPTURE(body);
            scripted_server first{
                {{relayed + framed_whole, connection_end::close}, {relayed + body, connection_end::close}}};
            peer_group others{1};
            others.relaying_peer = 0;
            client_fixture fixture;
            fixture.client.set_address("127.0.0.1:1");
            fixture.peers.set({gateway::peer{loopback(first.port()), 1}});
            CHECK(query(fixture).answered);
            auto peers = others.list();
            peers.push_back({loopback(first.port()), 1});
            fixture.peers.set(peers);
            // The peer that relayed the last call is asked first.
            CHECK(query(fixture).answered);
            CHECK(others.request_count == 1);
        }
    }
    SUBCASE("the store: a peer is asked")
    {
        for (const auto& body : cut_bodies)
        {
            CAPTURE(body);
            scripted_server store{{{"HTTP/1.1 200 OK\r\n" + body, connection_end::close}}};
            peer_group others{1};
            others.relaying_peer = 0;
            client_fixture fixture;
            fixture.client.set_address(loopback(store.port()));
            fixture.peers.set(others.list());
            CHECK(query(fixture).answered);
            CHECK(others.request_count == 1);
        }
    }
    SUBCASE("the store: whole without length or chunks")
    {
        scripted_server store{{{"HTTP/1.1 200 OK\r\n\r\n" + whole, connection_end::close}}};
        client_fixture fixture;
        fixture.client.set_address(loopback(store.port()));
        CHECK(query(fixture).answered);
    }
    SUBCASE("the store: a transaction may have taken effect")
    {
        scripted_server store{{{"HTTP/1.1 200 OK\r\n\r\n{\"ve", connection_end::close}}};
        client_fixture fixture;
        fixture.client.set_address(loopback(store.port()));
        const auto reply = fixture.wait_for<gateway::transaction_reply>(
            [&](auto done) {
                fixture.client.transact({.puts = {{.name = {.table = "t", .key = "k"}, .value = "v"}}}, done);
            });
        CHECK(reply.outcome == gateway::store_outcome::unknown);
    }
    SUBCASE("the store behind a peer: the peer does not relay it")
    {
        for (const auto& body : cut_bodies)
        {
            CAPTURE(body);
            scripted_server store{{{"HTTP/1.1 200 OK\r\n" + body, connection_end::close}}};
            io_threads threads{1};
            const auto address = free_address(threads.context());
            metrics_registry metrics;
            gateway::peer_directory peers{{address, 1}, test_seed()};
            platform::row_store_client client{threads.context(),
                                              {loopback(store.port()), address},
                                              peers,
                                              gateway::make_io_delay(threads.context()),
                                              metrics};
            std::promise<void> started;
            boost::asio::post(threads.context(),
                              [&]
                              {
                                  client.start();
                                  started.set_value();
                              });
            started.get_future().wait();
            io_threads caller_threads;
            http_client caller{caller_threads.context()};
            const auto reply = fetch(
                caller, {.address = address,
                         .method = "POST",
                         .target = "/store-call",
                         .headers = {{"Call-Method", "GET"}, {"Call-Target", "/rows-get?table=t&part="}}});
            CHECK(reply.status == 503);
            CHECK_FALSE(reply.header("Call-Status"));
            threads.stop();
            caller_threads.stop();
        }
    }
}

TEST_CASE("the client reports existing rows, removals, and versions whose history the store has discarded")
{
    client_fixture fixture;
    fixture.store.put("t", "a", "value");
    const auto rows = fixture.wait_for<gateway::query_reply>([&](auto done)
                                                             { fixture.client.query({.table = "t"}, done); });
    REQUIRE(rows.answered);
    REQUIRE(rows.rows.size() == 1);
    CHECK(rows.rows[0].value == "value");
    fixture.store.remove("t", "a");
    const auto feed = fixture.wait_for<gateway::feed_reply>(
        [&](auto done) { fixture.client.follow("t", rows.version, 1s, done); });
    REQUIRE(feed.rows.size() == 1);
    CHECK(feed.rows[0].removed);
    fixture.store.truncate_history();
    const auto gone = fixture.wait_for<gateway::feed_reply>(
        [&](auto done) { fixture.client.follow("t", rows.version, 1s, done); });
    CHECK(gone.outcome == gateway::feed_outcome::history_truncated);
}

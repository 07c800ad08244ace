/// @file
/// Complete gateways on loopback against stand-ins of the platform: a store, an engine and a plain service.
#pragma once

#include "support/test_seed.hpp"

#include "request_codec.hpp"
#include "row_codec.hpp"
#include "row_store_client.hpp"

#include "masticcourse/gateway/attended_time.hpp"
#include "masticcourse/gateway/gateway.hpp"
#include "masticcourse/gateway/io_delay.hpp"
#include "masticcourse/net/event_loop.hpp"

#include "net_fixture.hpp"
#include "platform_target.hpp"
#include "table_service.hpp"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace masticcourse::testing
{

/// The components of one gateway process, running on their own thread.
struct gateway_process
{
    /// @param request_protocol replaces the platform's protocol; must outlive the process
    gateway_process(const std::string& store_address, const std::string& node,
                    const gateway::gateway_protocol* request_protocol = nullptr)
        : callers(free_address(loop.context())), readiness(free_address(loop.context())),
          peer_address(free_address(loop.context())), peers({peer_address, 1, {"here"}}, test_seed()),
          store(loop.context(),
                {.address = store_address,
                 .peer_address = peer_address,
                 .memory = memory,
                 .attended_clock = attended_clock()},
                peers, gateway::make_io_delay(loop.context()), metrics),
          gateway(loop,
                  {.node = node,
                   .frontend_address = callers,
                   .readiness_address = readiness,
                   .readiness_path = "/readyz",
                   .peer_address = peer_address,
                   .own_domain = {"here"},
                   .cache_bytes = 1'000'000,
                   // The smallest VM of a deployment.
                   .memory_bytes = std::size_t{88} << 20U,
                   .base_memory_bytes = std::size_t{12} << 20U,
                   .memory = memory,
                   .attended_clock = attended_clock(),
                   .row_bytes = 10'000,
                   .stop_grace = std::chrono::seconds{8}},
                  request_protocol == nullptr ? protocol : *request_protocol, store, peers,
                  platform::make_table_decoders(), metrics)
    {
        loop.on_control_drained([this] { attended.tick(gateway::monotonic_now()); });
        boost::asio::post(loop.context(),
                          [this]
                          {
                              for (auto& it : gateway.peer_handlers())
                              {
                                  store.serve(it.path, std::move(it.handler));
                              }
                              store.start();
                              gateway.start();
                              started = true;
                          });
        thread = std::jthread{[this] { loop.run(); }};
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;
    ~gateway_process()
    {
        stop();
    }

    /// Stops the process at once.
    void stop()
    {
        loop.stop();
        thread = {};
    }

    [[nodiscard]] gateway::clock_function attended_clock() const
    {
        return [this] { return attended.at(gateway::monotonic_now()); };
    }

    event_loop loop;
    gateway::attended_time attended;
    std::atomic<bool> started = false;
    std::string callers;
    std::string readiness;
    std::string peer_address;
    metrics_registry metrics;
    memory_account_ptr memory = std::make_shared<memory_account>();
    gateway::peer_directory peers;
    platform::platform_protocol protocol;
    platform::row_store_client store;
    gateway::gateway gateway;
    std::jthread thread;
};

constexpr const char* gateway_config = R"({"version":7,"routes":[
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
        store.put("op", "config", gateway_config);
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

} // namespace masticcourse::testing

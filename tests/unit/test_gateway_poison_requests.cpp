// Requests under which targets end, one after the other: how many targets they reach, within one attempt of
// the caller and over its attempts at several gateways, and what callers are told.
#include "gateway_fixture.hpp"
#include "support/ending_target.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr const char* poison_config = R"({"version":8,"routes":[
  {"name":"look","host":"h","prefix":"/look/","type":"idempotent","timeoutMs":5000,"service":"app","maxAttempts":2},
  {"name":"once","host":"h","prefix":"/once/","type":"idempotent","timeoutMs":5000,"service":"app","maxAttempts":1},
  {"name":"often","host":"h","prefix":"/often/","type":"idempotent","timeoutMs":5000,"service":"app","maxAttempts":6},
  {"name":"order","host":"h","prefix":"/order/","type":"non_idempotent","timeoutMs":5000,"service":"app","maxAttempts":2},
  {"name":"turn","host":"h","prefix":"/turn/","type":"streaming","timeoutMs":5000,"service":"llm","maxAttempts":2,
   "retentionEnabled":true,"retentionS":60.0},
  {"name":"plan","host":"h","prefix":"/plan/","type":"streaming","timeoutMs":5000,"service":"llm","maxAttempts":2,
   "resumable":true,"gapTargetMs":200}],
  "services":[{"name":"llm","engine":{"tokensPerEvent":10}},{"name":"app"}]})";

constexpr std::size_t targets_per_service = 8;
/// After that many targets have ended under a request, one after the other, it is sent to no more.
constexpr std::size_t max_ends = 3;

/// Gateways in front of plain services and engines that end under some requests.
class ending_fleet
{
  public:
    explicit ending_fleet(std::size_t gateways)
    {
        platform.store.remove("servers", "i-engine");
        platform.store.remove("servers", "i-app");
        platform.store.put("op", "config", poison_config);
        for (std::size_t n = 0; n < targets_per_service; ++n)
        {
            add_target("app", n);
            add_target("llm", n);
        }
        for (std::size_t n = 0; n < gateways; ++n)
        {
            m_gateways.push_back(
                std::make_unique<gateway_process>(loopback(platform.store.port()), "g" + std::to_string(n)));
        }
        for (const auto& it : m_gateways)
        {
            platform.wait_ready(*it);
            REQUIRE(eventually([&] { return known_peers(*it) == gateways - 1; }));
        }
    }
    ending_fleet(const ending_fleet&) = delete;
    ending_fleet(ending_fleet&&) = delete;
    ending_fleet& operator=(const ending_fleet&) = delete;
    ending_fleet& operator=(ending_fleet&&) = delete;
    ~ending_fleet()
    {
        m_gateways.clear();
        m_threads.stop();
    }

    http_client_reply send(std::size_t gateway, const std::string& path, const std::string& id)
    {
        return fetch(platform.client, make_request(gateway, path, id));
    }

    void send_later(std::size_t gateway, const std::string& path, const std::string& id,
                    http_reply_callback on_reply)
    {
        platform.client.send(make_request(gateway, path, id), std::move(on_reply));
    }

    /// @return how many answers the targets hold back
    [[nodiscard]] int held() const
    {
        return std::accumulate(targets.begin(), targets.end(), 0,
                               [](int sum, const auto& it) { return sum + it->held(); });
    }

    /// Leaves a kept connection from a gateway to each of the targets of the plain service, by as many
    /// requests at once as all targets answer together.
    void keep_connections(std::size_t gateway, const std::string& path)
    {
        constexpr std::size_t requests = 3 * targets_per_service;
        std::ranges::for_each(targets, [](const auto& it) { it->hold(); });
        synchronized_value<int> answered;
        for (std::size_t n = 0; n < requests; ++n)
        {
            platform.client.send(
                make_request(gateway, path, "warm-" + std::to_string(n)), [&](const http_client_reply& reply)
                { answered.update([&](int& count) { count += reply.status == 200 ? 1 : 0; }); });
        }
        CHECK(eventually([&] { return held() == static_cast<int>(requests); }));
        std::ranges::for_each(targets, [](const auto& it) { it->release(); });
        REQUIRE(answered.wait([](int count) { return count == static_cast<int>(requests); }));
    }

    platform_fixture platform;
    end_record ends;

  private:
    // Before the targets, whose sockets belong to it.
    io_threads m_threads{1};

  public:
    std::vector<std::unique_ptr<ending_target>> targets;

  private:
    void add_target(const std::string& service, std::size_t number)
    {
        const auto& added = targets.emplace_back(std::make_unique<ending_target>(
            m_threads.context(), "i-" + service + "-" + std::to_string(number), service == "llm", ends));
        platform.store.put("servers", added->id(), added->registry_entry(service));
    }

    /// @return the number of other gateways that a gateway knows
    static std::size_t known_peers(gateway_process& gateway)
    {
        std::promise<std::size_t> known;
        boost::asio::post(gateway.loop.context(), [&] { known.set_value(gateway.peers.size()); });
        return known.get_future().get();
    }

    [[nodiscard]] http_client_request make_request(std::size_t gateway, const std::string& path,
                                                   const std::string& id) const
    {
        return {.address = m_gateways.at(gateway)->callers,
                .method = "POST",
                .target = path,
                .body = "input",
                .headers = {{"Host", "h"},
                            {"Masticcourse-Request-Id", id},
                            {"Masticcourse-Program-Id", "p"},
                            {"Masticcourse-Token-Budget", "100000"},
                            {"Masticcourse-Token-Usage", "10,100"}}};
    }

    std::vector<std::unique_ptr<gateway_process>> m_gateways;
};

/// Statuses by which a gateway promises that a request has not run.
bool promises_not_run(const http_client_reply& reply)
{
    constexpr std::array statuses{408, 421, 429, 503};
    return std::ranges::find(statuses, reply.status) != statuses.end() ||
           reply.body.find(R"("ran":"no")") != std::string::npos;
}

} // namespace

// Guards against: the transport repeats an idempotent request by itself on a new connection, the target that
// ended under it refuses that connection, and the gateway takes the target off the count of attempts.
TEST_CASE(
    "a request under which targets end reaches no more targets than its route allows in one attempt, and "
    "its caller is not told that it did not run")
{
    for (const bool kept_connections : {false, true})
    {
        CAPTURE(kept_connections);
        ending_fleet fleet{1};
        if (kept_connections)
        {
            fleet.keep_connections(0, "/look/warm");
        }
        const auto reply = fleet.send(0, "/look/end/1", "r1");
        CHECK(fleet.ends.size() == 2);
        CHECK_FALSE(promises_not_run(reply));
        CHECK(fleet.send(0, "/look/other", "r2").status == 200);
    }
}

// Guards against: each attempt of a caller has another id and may reach another gateway, and each brings as
// many further targets to their end as the route allows in one attempt.
TEST_CASE("once three targets have ended under a request, no further attempt of its caller reaches a target")
{
    constexpr std::size_t attempts = 6;
    for (const auto gateways : {std::size_t{1}, std::size_t{2}})
    {
        for (const std::string route : {"look", "once", "often", "order", "turn", "plan"})
        {
            for (const bool kept_connections : {false, true})
            {
                CAPTURE(gateways);
                CAPTURE(route);
                CAPTURE(kept_connections);
                const bool plain = route != "turn" && route != "plan";
                ending_fleet fleet{gateways};
                for (std::size_t n = 0; kept_connections && plain && n < gateways; ++n)
                {
                    fleet.keep_connections(n, "/look/warm");
                }
                for (std::size_t n = 0; n < attempts; ++n)
                {
                    const auto reply =
                        fleet.send(n % gateways, "/" + route + "/end/1", "r" + std::to_string(n));
                    CHECK_FALSE(promises_not_run(reply));
                }
                CHECK(fleet.ends.size() <= max_ends);
                const auto refused = fleet.send(0, "/" + route + "/end/1", "last");
                CHECK(refused.status == 400);
                CHECK(refused.body.find(R"("title":"poison_request")") != std::string::npos);
                CHECK(refused.body.find(R"("ran":"unknown")") != std::string::npos);
                CHECK(refused.header("Retry-After"));
                CHECK(fleet.send(0, "/" + route + "/other", "innocent").status == 200);
            }
        }
    }
}

// Guards against: targets that come back, at the same address, ended again and again by the same request.
TEST_CASE("a request is refused after three ends as well if the targets start again")
{
    for (const auto down_for : {1ms, 50ms})
    {
        CAPTURE(down_for.count());
        ending_fleet fleet{2};
        std::ranges::for_each(fleet.targets, [&](const auto& it) { it->restart_after(down_for); });
        for (std::size_t n = 0; n < 10; ++n)
        {
            const auto reply = fleet.send(n % 2, "/look/end/1", "r" + std::to_string(n));
            CHECK_FALSE(promises_not_run(reply));
            std::this_thread::sleep_for(down_for);
        }
        CHECK(fleet.ends.size() <= max_ends);
    }
}

// Guards against: work that was under way at a target that ended is refused together with the request at
// fault.
TEST_CASE("requests that are lost with a target that another request ends are answered by others")
{
    ending_fleet fleet{2};
    constexpr std::size_t innocents = 2 * targets_per_service;
    std::ranges::for_each(fleet.targets, [](const auto& it) { it->hold(); });
    synchronized_value<std::vector<int>> statuses;
    for (std::size_t n = 0; n < innocents; ++n)
    {
        fleet.send_later(n % 2, "/often/innocent/" + std::to_string(n), "i" + std::to_string(n),
                         [&](const http_client_reply& reply)
                         { statuses.update([&](auto& all) { all.push_back(reply.status); }); });
    }
    CHECK(eventually([&] { return fleet.held() == static_cast<int>(innocents); }));
    for (std::size_t n = 0; n < 4; ++n)
    {
        CHECK_FALSE(promises_not_run(fleet.send(n % 2, "/look/end/1", "p" + std::to_string(n))));
    }
    CHECK(fleet.ends.size() == max_ends);
    std::ranges::for_each(fleet.targets, [](const auto& it) { it->release(); });
    REQUIRE(statuses.wait([](const auto& all) { return all.size() == innocents; }));
    CHECK(std::ranges::count(statuses.get(), 200) == static_cast<int>(innocents));
}

// Guards against: connections that break, without the end of a target, taken for ends.
TEST_CASE("a request whose connections are closed without an answer is not refused as one that ends targets")
{
    ending_fleet fleet{2};
    fleet.keep_connections(0, "/look/warm");
    for (std::size_t n = 0; n < 10; ++n)
    {
        CHECK(fleet.send(n % 2, "/look/drop/1", "r" + std::to_string(n)).status == 502);
    }
    CHECK(fleet.ends.size() == 0);
}

// A whole gateway on loopback that is sent more requests than it can process: what it still gets done.
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

using test_clock = std::chrono::steady_clock;

/// The platform's protocol on a processor that takes long for each request.
class slow_protocol final : public gateway::gateway_protocol
{
  public:
    explicit slow_protocol(gateway::milliseconds work) : m_work(work) {}

    [[nodiscard]] std::variant<gateway::gateway_request, gateway::refusal>
    decode(http_request request) const override
    {
        std::this_thread::sleep_for(m_work);
        return m_protocol.decode(std::move(request));
    }
    [[nodiscard]] http_client_request encode(const gateway::gateway_request& request, std::string body,
                                             const gateway::target_record& target,
                                             gateway::milliseconds time_left) const override
    {
        return m_protocol.encode(request, std::move(body), target, time_left);
    }
    [[nodiscard]] gateway::target_response_head decode(const http_client_reply& reply) const override
    {
        return m_protocol.decode(reply);
    }
    [[nodiscard]] bool is_response_to(const http_client_reply& reply,
                                      const gateway::request_id& id) const override
    {
        return m_protocol.is_response_to(reply, id);
    }
    [[nodiscard]] http_response encode(const gateway::refusal& refusal) const override
    {
        return m_protocol.encode(refusal);
    }

  private:
    platform::platform_protocol m_protocol;
    gateway::milliseconds m_work;
};

struct answered_request
{
    test_clock::time_point sent;
    test_clock::duration took{};
    int status = 0;
};

/// Callers that each send the next request as soon as the last one has been answered.
class caller_crowd
{
  public:
    caller_crowd(std::string address, std::string path, std::size_t callers)
        : m_address(std::move(address)), m_path(std::move(path))
    {
        for (std::size_t n = 0; n < callers; ++n)
        {
            send();
        }
    }
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd(caller_crowd&&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;
    caller_crowd& operator=(caller_crowd&&) = delete;
    ~caller_crowd()
    {
        m_threads.stop();
    }

    [[nodiscard]] std::vector<answered_request> answered()
    {
        const std::scoped_lock lock(m_mutex);
        return m_answered;
    }

  private:
    void send()
    {
        std::string id;
        {
            const std::scoped_lock lock(m_mutex);
            id = "r" + std::to_string(++m_sent);
        }
        m_client.send({.address = m_address,
                       .method = "POST",
                       .target = m_path,
                       .body = "input",
                       .headers = {{"Host", "h"}, {"Masticcourse-Request-Id", id}},
                       .timeout = test_timeout},
                      [this, sent = test_clock::now()](const http_client_reply& reply)
                      {
                          {
                              const std::scoped_lock lock(m_mutex);
                              m_answered.push_back({sent, test_clock::now() - sent, reply.status});
                          }
                          send();
                      });
    }

    std::string m_address;
    std::string m_path;
    std::mutex m_mutex;
    std::size_t m_sent = 0;
    std::vector<answered_request> m_answered;
    io_threads m_threads{1};
    http_client m_client{m_threads.context()};
};

/// @return the greatest age that a followed table has reached since the start
std::chrono::microseconds greatest_age(metrics_registry& metrics, const std::string& table)
{
    return metrics.get_histogram("masticcourse_table_age_seconds", "", {{"table", table}}).quantile(1);
}

} // namespace

// Guards against an overloaded gateway that serves requests by a configuration that has been replaced: what
// it reads of the store waits behind its callers' requests, and it takes the store for away.
TEST_CASE("a gateway with more requests than it can process applies a change of the configuration in time")
{
    constexpr gateway::milliseconds work_per_request{20};
    constexpr std::size_t callers = 250;
    /// In force within two seconds, as the strictest deployments ask.
    constexpr gateway::milliseconds apply_time{2'000};
    const slow_protocol protocol{work_per_request};
    platform_fixture world;
    gateway_process process{loopback(world.store.port()), "only", &protocol};
    world.wait_ready(process);
    caller_crowd crowd{process.callers, "/tool/1", callers};
    std::this_thread::sleep_for(2s);
    std::string later = gateway_config;
    later.replace(later.find("\"version\":7"), 11, "\"version\":8");
    later.replace(later.find("/tool/"), 6, "/other/");
    world.store.put("op", "config", later);
    const auto acknowledged = test_clock::now();
    std::this_thread::sleep_for(7s);
    const auto late =
        std::ranges::count_if(crowd.answered(), [&](const auto& it)
                              { return it.status == 200 && it.sent > acknowledged + apply_time; });
    CHECK(late == 0);
    for (const auto* const table : {"op", "servers"})
    {
        CAPTURE(table);
        CHECK(greatest_age(process.metrics, table) <= apply_time);
    }
}

// Tests of the store client over HTTP against the store stand-in, with each fault that the stand-in can
// inject.
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/net/percent.hpp"
#include "masticcourse/store/store_client.hpp"

#include "net_fixture.hpp"
#include "scripted_server.hpp"
#include "store_http.hpp"

#include <doctest/doctest.h>

#include <array>
#include <future>
#include <string>
#include <utility>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

struct store_fixture
{
    // One I/O thread, because the stand-in is single-threaded.
    store_fixture()
        : threads(1), store(threads.context()),
          server(threads.context(), "127.0.0.1:0", {},
                 [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                 { store.handle(request, exchange); }),
          http(threads.context()), client(http, loopback(server.port()))
    {
    }
    store_fixture(const store_fixture&) = delete;
    store_fixture(store_fixture&&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;
    store_fixture& operator=(store_fixture&&) = delete;
    ~store_fixture()
    {
        threads.stop();
    }

    [[nodiscard]] store_reply run(const store_op& op, std::chrono::milliseconds timeout = test_timeout)
    {
        const auto done = std::make_shared<std::promise<store_reply>>();
        auto reply = done->get_future();
        client.run(op, timeout, [done](store_reply it) { done->set_value(std::move(it)); });
        return reply.get();
    }

    /// @return the HTTP status of the response
    int set_faults(const std::string& faults)
    {
        return fetch(http, {.address = loopback(server.port()),
                            .method = "POST",
                            .target = "/faults",
                            .body = faults})
            .status;
    }

    [[nodiscard]] std::string stats()
    {
        return fetch(http, {.address = loopback(server.port()), .target = "/stats"}).body;
    }

    io_threads threads;
    standins::store_http store;
    http_server server;
    http_client http;
    store_client client;
};

/// Keys that produce invalid requests unless they are percent-encoded.
const std::array<std::string, 4> special_keys{"plain", "a/b#c", "journal/x y?&%", "\xC3\xBArad/\x01"};

} // namespace

TEST_CASE("store_client: rows")
{
    store_fixture it;
    for (const auto& key : special_keys)
    {
        CAPTURE(key);
        CHECK(it.run(table_get{key}).status == store_status::not_found);
        const auto created = it.run(table_put{key, "one", 0});
        CHECK(created.status == store_status::ok);
        CHECK(created.version == 1);
        CHECK(it.run(table_put{key, "two", 0}).status == store_status::conflict);
        CHECK(it.run(table_put{key, "two", 1}).version == 2);
        const auto stored = it.run(table_get{key});
        CHECK(stored.value == "two");
        CHECK(stored.version == 2);
        CHECK(it.run(table_list{key}).rows == std::vector<table_row>{{key, "two", 2}});
    }
    CHECK(it.run(table_list{""}).rows.size() == special_keys.size());
}

TEST_CASE("store_client: objects")
{
    store_fixture it;
    const std::string bytes("\0\xFF\r\n binary", 11);
    for (const auto& key : special_keys)
    {
        CAPTURE(key);
        CHECK(it.run(object_create{key, bytes}).status == store_status::ok);
        CHECK(it.run(object_create{key, "other"}).status == store_status::conflict);
        CHECK(it.run(object_get{key}).value == bytes);
        CHECK(it.run(object_list{key}).rows == std::vector<table_row>{{key, "", 0}});
        CHECK(it.run(object_delete{key}).status == store_status::ok);
        CHECK(it.run(object_get{key}).status == store_status::not_found);
    }
}

TEST_CASE("store_client: faults")
{
    store_fixture it;
    SUBCASE("an outage is reported as unavailable")
    {
        it.set_faults(R"({"outage":true})");
        CHECK(it.run(table_put{"k", "a", 0}).status == store_status::unavailable);
        CHECK(it.run(table_get{"k"}).status == store_status::unavailable);
    }
    SUBCASE("a rate limit is reported as unavailable")
    {
        it.set_faults(R"({"writes_per_second":0})");
        CHECK(it.run(object_create{"k", "a"}).status == store_status::unavailable);
        it.set_faults(R"({"writes_per_second":null})");
        CHECK(it.run(object_get{"k"}).status == store_status::not_found);
    }
    SUBCASE("a lost response is distinguished from a rejection, and the write took effect")
    {
        it.set_faults(R"({"lose_answers":1})");
        CHECK(it.run(object_create{"k", "a"}).status == store_status::outcome_unknown);
        CHECK(it.run(object_get{"k"}).value == "a");
        CHECK(it.stats().find(R"("writes":1)") != std::string::npos);
    }
    SUBCASE("a response after the timeout counts as lost")
    {
        it.set_faults(R"({"delay_ms":600000})");
        CHECK(it.run(table_put{"k", "a", 0}, std::chrono::milliseconds{30}).status ==
              store_status::outcome_unknown);
        it.set_faults(R"({"delay_ms":0})");
        CHECK(it.run(table_get{"k"}).value == "a");
    }
    SUBCASE("a delay shorter than the timeout has no effect on the status")
    {
        it.set_faults(R"({"delay_ms":1})");
        CHECK(it.run(table_put{"k", "a", 0}).status == store_status::ok);
    }
    SUBCASE("a refused connection is reported as unavailable")
    {
        store_client unreachable(it.http, "127.0.0.1:1");
        synchronized_value<std::optional<store_status>> status;
        unreachable.run(table_put{"k", "a", 0}, test_timeout,
                        [&](const store_reply& reply)
                        { status.update([&](auto& value) { value = reply.status; }); });
        CHECK(status.wait([](const auto& value) { return value == store_status::unavailable; }));
    }
}

// Guards against: the store's process fails in the middle of a response without length or chunks, and the cut
// value passes for the stored one; a journal's entry would count as damaged for good.
TEST_CASE(
    "store_client: a response without length or chunks is believed only if its text shows that it is whole")
{
    struct row
    {
        const char* name;
        store_op op;
        const char* body;
        store_status status;
    };
    const std::array table{
        row{"row", table_get{"k"}, "{\"shard\":1", store_status::outcome_unknown},
        row{"object", object_get{"k"}, "MCJ1...", store_status::outcome_unknown},
        row{"cut listing", object_list{""}, R"(["a","b")", store_status::unavailable},
        row{"whole listing", object_list{""}, R"(["a","b"])", store_status::ok},
        row{"write", object_create{"k", "v"}, "", store_status::ok},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        const scripted_server server{
            {{std::string{"HTTP/1.1 200 OK\r\n\r\n"} + it.body, connection_end::close}}};
        io_threads threads;
        http_client http{threads.context()};
        store_client client{http, loopback(server.port())};
        std::promise<store_reply> done;
        client.run(it.op, test_timeout, [&](store_reply reply) { done.set_value(std::move(reply)); });
        CHECK(done.get_future().get().status == it.status);
        threads.stop();
    }
}

TEST_CASE("platform store over HTTP: faults and statistics endpoints")
{
    store_fixture it;
    CHECK(it.set_faults(R"({"outage":true})") == 200);
    CHECK(it.run(table_get{"k"}).status == store_status::unavailable);
    CHECK(it.set_faults(R"({"outage":false,"writes_per_second":0})") == 200);
    CHECK(it.run(table_put{"k", "a", 0}).status == store_status::unavailable);
    CHECK(it.set_faults(R"({"writes_per_second":null})") == 200);
    CHECK(it.run(table_put{"k", "a", 0}).status == store_status::ok);
    for (const auto* wrong : {"{", "[1]", R"({"outage":"yes"})", R"({"reads_per_second":"many"})"})
    {
        CAPTURE(wrong);
        CHECK(it.set_faults(wrong) == 400);
    }
    CHECK(it.stats() == R"({"conflicts":0,"lost_answers":0,"reads":0,"refused":2,"writes":1})");
}

TEST_CASE("percent-encoding")
{
    for (const auto& key : special_keys)
    {
        CHECK(percent_decode(percent_encode(key)) == key);
    }
    CHECK(percent_encode("a/b#c d~") == "a%2Fb%23c%20d~");
    for (const auto* broken : {"%", "%2", "%zz", "a%+1", "%-1"})
    {
        CHECK_FALSE(percent_decode(broken));
    }
    CHECK(query_value("a=1&prefix=x%2Fy&c", "prefix") == "x/y");
    CHECK_FALSE(query_value("a=1", "prefix"));
    CHECK(split_target("/p?q=1").path == "/p");
    CHECK(split_target("/p?q=1").query == "q=1");
    CHECK(split_target("/p").query.empty());
}

// The store stand-in: its semantics and each injected fault, in virtual time; and the lag of the VM list.
#include "platform_store.hpp"
#include "vm_list.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>

using namespace masticcourse;
using namespace masticcourse::standins;

namespace
{

constexpr core_time start{};

/// Records the response.
class response_recorder final : public http_exchange
{
  public:
    void respond(http_response sent) override
    {
        response = std::move(sent);
    }
    void begin_stream(int /*status*/, std::vector<http_header> /*headers*/) override {}
    void begin_body(int /*status*/, std::vector<http_header> /*headers*/,
                    std::optional<std::uint64_t> /*length*/) override
    {
    }
    void on_written(std::function<void(std::size_t)> /*callback*/) override {}
    void write(std::string /*chunk*/) override {}
    void end_stream() override {}
    void on_closed(std::function<void()> /*callback*/) override {}

    http_response response;
};

/// Sends a request to the VM list.
http_response send(vm_list& list, const http_request& request)
{
    const auto exchange = std::make_shared<response_recorder>();
    list.handle(request, exchange);
    return exchange->response;
}

} // namespace

TEST_CASE("platform_store: table writes are conditional on the row version")
{
    struct row
    {
        const char* what;
        store_op op;
        store_status status;
        row_version version;
    };
    const std::array table{
        row{"no such row", table_get{"k"}, store_status::not_found, 0},
        row{"wrong version of no row", table_put{"k", "x", 1}, store_status::conflict, 0},
        row{"creation", table_put{"k", "a", 0}, store_status::ok, 1},
        row{"second creation", table_put{"k", "b", 0}, store_status::conflict, 1},
        row{"change", table_put{"k", "c", 1}, store_status::ok, 2},
        row{"change of an old version", table_put{"k", "d", 1}, store_status::conflict, 2},
        row{"reading", table_get{"k"}, store_status::ok, 2},
    };
    platform_store store;
    for (const auto& it : table)
    {
        CAPTURE(it.what);
        const auto reply = store.apply(it.op, start);
        CHECK(reply.status == it.status);
        CHECK(reply.version == it.version);
    }
    CHECK(store.apply(table_get{"k"}, start).value == "c");
    CHECK(store.stats().conflicts == 3);
}

TEST_CASE("platform_store: objects can be created once, listed and deleted")
{
    platform_store store;
    CHECK(store.apply(object_create{"a/1", "x"}, start).status == store_status::ok);
    CHECK(store.apply(object_create{"a/1", "y"}, start).status == store_status::conflict);
    CHECK(store.apply(object_create{"a/2", ""}, start).status == store_status::ok);
    CHECK(store.apply(object_create{"b/1", ""}, start).status == store_status::ok);
    CHECK(store.apply(object_get{"a/1"}, start).value == "x");
    const auto listed = store.apply(object_list{"a/"}, start).rows;
    REQUIRE(listed.size() == 2);
    CHECK(listed[0].key == "a/1");
    CHECK(store.apply(object_delete{"a/1"}, start).status == store_status::ok);
    CHECK(store.apply(object_delete{"a/1"}, start).status == store_status::ok);
    CHECK(store.apply(object_get{"a/1"}, start).status == store_status::not_found);
}

TEST_CASE("platform_store: during an outage all operations are refused and nothing is written")
{
    platform_store store;
    store.set_faults({.outage = true});
    CHECK(store.apply(table_put{"k", "a", 0}, start).status == store_status::unavailable);
    store.set_faults({});
    CHECK(store.apply(table_get{"k"}, start).status == store_status::not_found);
    CHECK(store.stats().refused == 1);
}

TEST_CASE("platform_store: an operation whose answer is lost has taken effect")
{
    platform_store store;
    store.set_faults({.lose_answers = 1});
    CHECK(store.apply(object_create{"k", "a"}, start).status == store_status::outcome_unknown);
    CHECK(store.apply(object_get{"k"}, start).value == "a");
}

TEST_CASE("platform_store: writes and reads have separate rate limits")
{
    platform_store store;
    store.set_faults({.writes_per_second = 2, .reads_per_second = 1});
    const auto put = [&](core_time now) { return store.apply(object_create{"k", ""}, now).status; };
    CHECK(put(start) == store_status::ok);
    CHECK(put(start) == store_status::conflict);
    CHECK(put(start) == store_status::unavailable);
    CHECK(store.apply(object_get{"k"}, start).status == store_status::ok);
    CHECK(store.apply(object_get{"k"}, start).status == store_status::unavailable);
    CHECK(put(start + std::chrono::milliseconds{400}) == store_status::unavailable);
    CHECK(put(start + std::chrono::milliseconds{600}) == store_status::conflict);
}

TEST_CASE("vm_list: the first list is visible immediately, later ones after the lag")
{
    struct row
    {
        std::chrono::milliseconds lag;
        const char* shown;
    };
    const std::array table{row{std::chrono::milliseconds{0}, "second"}, row{std::chrono::hours{1}, "first"}};
    const http_request get{.method = "GET", .target = "/vms"};
    for (const auto& it : table)
    {
        vm_list list(it.lag);
        CHECK(send(list, get).body == "[]");
        CHECK(send(list, {.method = "PUT", .target = "/vms", .body = "first"}).status == 200);
        CHECK(send(list, get).body == "first");
        CHECK(send(list, {.method = "PUT", .target = "/vms", .body = "second"}).status == 200);
        CHECK(send(list, get).body == it.shown);
        CHECK(send(list, {.method = "POST", .target = "/vms"}).status == 405);
        CHECK(send(list, {.method = "GET", .target = "/"}).status == 404);
    }
}

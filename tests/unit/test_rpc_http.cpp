// JSON-RPC over the HTTP server and client.
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/net/rpc_http.hpp"

#include "net_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

constexpr int custom_error_id = 401;

/// A server with one method that succeeds and one that fails, which requires a bearer token.
struct rpc_http_fixture
{
    rpc_http_fixture()
        : server(threads.context(), "127.0.0.1:0", {},
                 [this](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                 {
                     const bool authorized = request.header("Authorization") == "Bearer token";
                     exchange->respond(authorized ? handle_rpc_request(methods, request)
                                                  : problem_response({.id = problem_id::unauthorized}));
                 })
    {
        methods.add_method("echo", [](const std::string& params) { return params; });
        methods.add_method(
            "refuse", [](const std::string&) -> std::string { throw rpc_error(custom_error_id, "no home"); });
    }
    rpc_http_fixture(const rpc_http_fixture&) = delete;
    rpc_http_fixture(rpc_http_fixture&&) = delete;
    rpc_http_fixture& operator=(const rpc_http_fixture&) = delete;
    rpc_http_fixture& operator=(rpc_http_fixture&&) = delete;
    ~rpc_http_fixture()
    {
        threads.stop();
    }

    [[nodiscard]] rpc_http_endpoint endpoint() const
    {
        return {.address = loopback(server.port()),
                .headers = {{"Authorization", "Bearer token"}},
                .timeout = test_timeout};
    }

    rpc_server methods;
    io_threads threads;
    http_server server;
};

/// @return the id of the error that a call ends with, or 0
int error_id_of(rpc_client& client, const std::string& method)
{
    try
    {
        (void)client.call(method, "{}");
    }
    catch (const rpc_error& error)
    {
        return error.id();
    }
    return 0;
}

} // namespace

TEST_CASE("rpc over HTTP: calls return results, and failures keep their ids")
{
    const rpc_http_fixture it;
    rpc_client client(make_http_transport(it.endpoint()));
    CHECK(client.call("echo", R"({"programs":["a","b"]})") == R"({"programs":["a","b"]})");
    CHECK(error_id_of(client, "refuse") == custom_error_id);
    CHECK(error_id_of(client, "unknown") == static_cast<int>(rpc_error_id::method_not_found));
}

TEST_CASE("rpc over HTTP: HTTP failures are reported as transport errors")
{
    const rpc_http_fixture it;
    auto without_token = it.endpoint();
    without_token.headers.clear();
    rpc_client unauthenticated(make_http_transport(without_token));
    CHECK(error_id_of(unauthenticated, "echo") == static_cast<int>(rpc_error_id::transport));
    rpc_client unreachable(make_http_transport({.address = "127.0.0.1:1"}));
    CHECK(error_id_of(unreachable, "echo") == static_cast<int>(rpc_error_id::transport));
}

TEST_CASE("rpc over HTTP: only POST is accepted")
{
    rpc_server methods;
    const auto answer = handle_rpc_request(methods, {.method = "GET", .target = "/rpc"});
    CHECK(answer.status == 405);
    CHECK(handle_rpc_request(methods, {.method = "POST", .target = "/rpc", .body = "no JSON"}).status == 200);
}

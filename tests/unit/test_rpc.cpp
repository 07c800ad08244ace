// JSON-RPC: server and client against each other, and the server against malformed requests.
#include "masticcourse/net/rpc.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace masticcourse;

namespace
{

constexpr int custom_error_id = 401;

/// A server with methods that return, throw and return malformed JSON.
struct rpc_fixture
{
    rpc_fixture()
    {
        server.add_method("echo", [](const std::string& params) { return params; });
        server.add_method(
            "refuse", [](const std::string&) -> std::string { throw rpc_error(custom_error_id, "no home"); });
        server.add_method("fault",
                          [](const std::string&) -> std::string { throw std::runtime_error("fault"); });
        server.add_method("garbage", [](const std::string&) -> std::string { return "{"; });
    }

    rpc_server server;
    rpc_client client{[this](const std::string& request) { return server.handle(request); }};
};

/// @return the id of the error that @a call throws, or 0
template <typename Call>
int error_id_of(Call call)
{
    try
    {
        call();
    }
    catch (const rpc_error& error)
    {
        return error.id();
    }
    return 0;
}

} // namespace

TEST_CASE("rpc: results are returned unchanged")
{
    rpc_fixture it;
    const std::array texts{R"({"a":[1,2.5,"x"],"b":null})", "[]", R"(["\u00e9\n"])", "null",
                           R"({"n":9007199254740993})"};
    for (const auto* text : texts)
    {
        CAPTURE(text);
        const auto result = it.client.call("echo", text);
        CHECK(it.client.call("echo", result == "null" ? "null" : result) == result);
    }
    CHECK(it.client.call("echo", R"({"n": 9007199254740993})") == R"({"n":9007199254740993})");
}

TEST_CASE("rpc: failures are reported by id")
{
    struct row
    {
        const char* method;
        const char* params;
        int id;
    };
    const std::array table{
        row{"refuse", "{}", custom_error_id},
        row{"fault", "{}", static_cast<int>(rpc_error_id::internal_error)},
        row{"garbage", "{}", static_cast<int>(rpc_error_id::internal_error)},
        row{"unknown", "{}", static_cast<int>(rpc_error_id::method_not_found)},
        row{"echo", "{", static_cast<int>(rpc_error_id::invalid_params)},
    };
    rpc_fixture it;
    for (const auto& row : table)
    {
        CAPTURE(row.method);
        CHECK(error_id_of([&] { it.client.call(row.method, row.params); }) == row.id);
    }
    CHECK_THROWS_AS(it.server.add_method("echo", nullptr), std::invalid_argument);
}

TEST_CASE("rpc: transport failures are distinguished from method failures")
{
    rpc_client failing([](const std::string&) -> std::string
                       { throw std::runtime_error("connection lost"); });
    CHECK(error_id_of([&] { failing.call("echo", "{}"); }) == static_cast<int>(rpc_error_id::transport));
    for (const auto* answer : {"", "no JSON", "[]", "{}"})
    {
        CAPTURE(answer);
        rpc_client malformed([answer](const std::string&) { return std::string(answer); });
        CHECK(error_id_of([&] { malformed.call("echo", "{}"); }) != 0);
    }
}

TEST_CASE("rpc: malformed requests get error responses")
{
    rpc_fixture it;
    const std::array texts{"",
                           "no JSON",
                           "{}",
                           "[]",
                           R"({"jsonrpc":"2.0","method":1,"id":1})",
                           R"({"jsonrpc":"1.0","method":"echo","id":1})"};
    for (const auto* text : texts)
    {
        CAPTURE(text);
        CHECK(it.server.handle(text).find("error") != std::string::npos);
    }
}

// Bad input over the wire and bad settings.
#include "agent.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::tests;
using nlohmann::json;

namespace
{

struct bad_request_row
{
    std::string name;
    http_client_request request;
    int status;
};

} // namespace

TEST_CASE("bad input over the wire is refused by a problem document, and the process lives on")
{
    deployment d;
    const auto program = create_program_at(d, 0);
    ask_until_ok(d, call_request_of(d, 0, program, {.key = "k1"}));
    const auto post = [&](const std::string& body)
    {
        return http_client_request{
            .address = d.entry(0), .method = "POST", .target = "/v1/programs", .body = body};
    };
    const auto authorized = [&](http_client_request it)
    { return with_token(std::move(it), workspace_token); };
    const std::string deep(5000, '[');
    auto reused = call_request_of(d, 0, program, {.key = "k1"});
    reused.body = call_request_of(d, 0, program, {.key = "k2"}).body;
    const auto history = "/v1/programs/" + program + "/history";
    const std::vector<bad_request_row> rows{
        {"oversized body", authorized(post(std::string(std::size_t{3} << 20U, 'x'))), 413},
        {"deep JSON", authorized(post(R"({"budget": )" + deep)), 400},
        {"broken UTF-8", authorized(post("{\"budget\": 5, \"\xC3\x28\": 1}")), 400},
        {"wrong method",
         authorized({.address = d.entry(0), .method = "PUT", .target = history, .body = "{}"}), 405},
        {"unknown path", authorized({.address = d.entry(0), .target = "/v1/nothing"}), 404},
        {"no token", post(R"({"budget": 5})"), 401},
        {"unknown token", with_token(post(R"({"budget": 5})"), "no-such-token"), 401},
        {"foreign token", with_token({.address = d.entry(0), .target = history}, foreign_token), 404},
        {"key reused with another body", reused, 422},
    };
    for (const auto& row : rows)
    {
        CAPTURE(row.name);
        const auto reply = d.ask(row.request);
        REQUIRE_MESSAGE(reply.status == row.status, to_string(reply.failure) << " " << reply.body);
        REQUIRE(reply.header("Content-Type") == "application/problem+json");
        REQUIRE(body_of(reply).at("ran") == "no");
    }
    d.send_raw_and_close(d.entry(0),
                         "POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"bud");
    d.send_raw_and_close(d.entry(0), "GET /v1/pro");
    ask_until_ok(d, call_request_of(d, 0, program, {.key = "k3"}));
    REQUIRE(d.process("entry-0").running());
    REQUIRE(history_at(d, 0, program).at("history").size() == 2);
}

TEST_CASE("bad settings: exit code 2, and all faults are listed")
{
    deployment d;
    const auto path = d.folder() + "/bad.toml";
    {
        std::ifstream good{d.folder() + "/settings.toml"};
        std::ofstream bad{path};
        bad << "no_such_key = 1\n"
            << std::string{std::istreambuf_iterator<char>{good}, {}} << "no_such_target_key = 2\n";
    }
    child_process process{
        d.folder() + "/bad.log", "masticcourse-entry", {"--settings", path, "--name", "entry-0"}};
    REQUIRE(wait_until([&] { return !process.running(); }));
    REQUIRE(process.exit_code() == 2);
    const auto log = process.log_tail();
    REQUIRE_MESSAGE(log.find("no_such_key") != std::string::npos, log);
    REQUIRE_MESSAGE(log.find("no_such_target_key") != std::string::npos, log);
}

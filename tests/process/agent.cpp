#include "agent.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace masticcourse::tests
{

using nlohmann::json;

http_client_request with_token(http_client_request request, std::string_view token)
{
    request.headers.push_back({"Authorization", "Bearer " + std::string{token}});
    return request;
}

http_client_request call_request_of(const deployment& d, std::size_t entry, const std::string& program,
                                    const call_options& options)
{
    const json body{{"service", options.tool ? "tool" : "model"},
                    {"input", "input of " + options.key},
                    {"idempotent", !options.tool},
                    {"max_tokens", options.max_tokens}};
    auto request = with_token({.address = d.entry(entry),
                               .method = "POST",
                               .target = "/v1/programs/" + program + "/calls",
                               .body = body.dump(),
                               .headers = {{"Idempotency-Key", options.key}}},
                              workspace_token);
    if (options.stream)
    {
        request.headers.push_back({"Accept", "text/event-stream"});
    }
    if (!options.last_event_id.empty())
    {
        request.headers.push_back({"Last-Event-ID", options.last_event_id});
    }
    return request;
}

json body_of(const http_client_reply& reply)
{
    auto document = json::parse(reply.body, nullptr, false);
    REQUIRE_MESSAGE(document.is_object(),
                    reply.status << " " << to_string(reply.failure) << " " << reply.body);
    return document;
}

std::string create_program_at(deployment& d, std::size_t entry, std::uint32_t budget)
{
    const auto reply = d.ask(with_token({.address = d.entry(entry),
                                         .method = "POST",
                                         .target = "/v1/programs",
                                         .body = json{{"budget", budget}}.dump()},
                                        workspace_token));
    REQUIRE_MESSAGE(reply.status == 201, reply.body);
    return body_of(reply).at("program").get<std::string>();
}

std::size_t home_of(deployment& d, const std::string& program)
{
    std::size_t home = 0;
    const auto lists = [&](std::size_t entry)
    {
        const auto reply =
            d.ask(with_token({.address = d.entry(entry), .target = "/v1/programs"}, operator_token));
        if (reply.status != 200)
        {
            return false;
        }
        const auto programs = body_of(reply).at("programs");
        return std::ranges::any_of(programs, [&](const json& it) { return it.at("program") == program; });
    };
    const auto found = [&]
    {
        home = lists(0) ? 0 : 1;
        return home == 0 || lists(1);
    };
    REQUIRE(wait_until(found));
    return home;
}

http_client_reply ask_until_ok(deployment& d, const http_client_request& request)
{
    http_client_reply reply;
    const auto answered = [&]
    {
        reply = d.ask(request);
        return reply.status == 200;
    };
    REQUIRE_MESSAGE(wait_until(answered), request.target << " " << reply.status << " "
                                                         << to_string(reply.failure) << " " << reply.body);
    return reply;
}

http_client_request history_request(const deployment& d, std::size_t entry, const std::string& program)
{
    return with_token({.address = d.entry(entry), .target = "/v1/programs/" + program + "/history"},
                      workspace_token);
}

json history_at(deployment& d, std::size_t entry, const std::string& program)
{
    return body_of(ask_until_ok(d, history_request(d, entry, program)));
}

json status_at(deployment& d, std::size_t entry)
{
    const auto reply = d.ask(with_token({.address = d.entry(entry), .target = "/v1/status"}, operator_token));
    return reply.status == 200 ? body_of(reply) : json{};
}

std::uint32_t runs_of(deployment& d, const std::string& program, const std::string& key)
{
    const auto reply = d.ask({.address = d.service(), .target = "/stats"});
    REQUIRE(reply.status == 200);
    const auto rows = json::parse(reply.body);
    const auto it = std::ranges::find_if(rows, [&](const json& row)
                                         { return row.at("program") == program && row.at("key") == key; });
    return it == rows.end() ? 0 : it->at("runs").get<std::uint32_t>();
}

void set_faults(deployment& d, const std::string& address, const std::string& faults)
{
    REQUIRE(d.ask({.address = address, .method = "POST", .target = "/faults", .body = faults}).status == 200);
}

} // namespace masticcourse::tests

#include "routes.hpp"

#include "masticcourse/net/percent.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <ranges>
#include <string_view>

namespace masticcourse::standins
{

std::vector<std::string> path_segments(const std::string& target)
{
    std::vector<std::string> segments;
    for (const auto component : std::views::split(split_target(target).path, '/'))
    {
        const std::string_view segment{component.begin(), component.end()};
        if (!segment.empty())
        {
            segments.push_back(percent_decode(segment).value_or(""));
        }
    }
    return segments;
}

http_response json_response(int status, std::string body)
{
    return {.status = status, .body = std::move(body)};
}

http_response json_error(int status, const std::string& message)
{
    return json_response(status, nlohmann::json{{"error", message}}.dump());
}

void serve_until_signal(boost::asio::io_context& context, const http_server& server)
{
    std::cout << "listening on port " << server.port() << std::endl;
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&context](auto /*ec*/, int /*number*/) { context.stop(); });
    context.run();
}

} // namespace masticcourse::standins

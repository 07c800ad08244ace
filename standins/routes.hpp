/// @file
/// What the HTTP stand-ins share: taking a request's path apart, JSON answers, running until a signal.
#pragma once

#include "masticcourse/net/http_message.hpp"
#include "masticcourse/net/http_server.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

/// @return the decoded segments of a target's path; one that can't be decoded becomes empty
[[nodiscard]] std::vector<std::string> path_segments(const std::string& target);

/// @return an answer of type `application/json`
[[nodiscard]] http_response json_response(int status, std::string body);

/// @return `{"error": what}` with @a status
[[nodiscard]] http_response json_error(int status, const std::string& message);

/// Prints where a stand-in takes requests and runs it until SIGINT or SIGTERM, on one thread.
void serve_until_signal(boost::asio::io_context& context, const http_server& server);

} // namespace masticcourse::standins

/// @file
/// Utilities of the HTTP stand-ins: path segments, JSON responses, serving until a signal.
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

/// @return the percent-decoded path segments of a request target; a segment that cannot be decoded is empty
[[nodiscard]] std::vector<std::string> path_segments(const std::string& target);

/// @return a response of type `application/json`
[[nodiscard]] http_response json_response(int status, std::string body);

/// @return a response with @a status and the body `{"error": message}`
[[nodiscard]] http_response json_error(int status, const std::string& message);

/// Prints the listening port and runs the context on the calling thread until SIGINT or SIGTERM.
void serve_until_signal(boost::asio::io_context& context, const http_server& server);

} // namespace masticcourse::standins

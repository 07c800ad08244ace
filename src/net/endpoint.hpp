/// @file
/// Addresses of the form "ip:port" as the sockets' endpoints, and back.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace masticcourse::detail
{

/// @return the endpoint that "ip:port" or "[ip]:port" names, or nothing if it names none
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// @return "ip:port", with brackets around an IPv6 address
[[nodiscard]] std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

/// Opens, binds and listens.
/// @throws std::runtime_error naming @a address if any of that fails
[[nodiscard]] boost::asio::ip::tcp::acceptor listen_on(const boost::asio::any_io_executor& executor,
                                                       const std::string& address);

} // namespace masticcourse::detail

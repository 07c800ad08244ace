/// @file
/// Conversion between "ip:port" strings and TCP endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace masticcourse::detail
{

/// @param address "ip:port" or "[ip]:port"
/// @return the endpoint, or `std::nullopt` if @a address is malformed
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/// @return "ip:port", with brackets around an IPv6 address
[[nodiscard]] std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint);

/// Opens an acceptor, binds it to @a address and starts listening.
/// @throws std::runtime_error with @a address in its message if the address is malformed or a step fails
[[nodiscard]] boost::asio::ip::tcp::acceptor listen_on(const boost::asio::any_io_executor& executor,
                                                       const std::string& address);

} // namespace masticcourse::detail

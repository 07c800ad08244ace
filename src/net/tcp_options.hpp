/// @file
/// Socket options and states beyond those that Asio has names for.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace masticcourse::detail
{

/// Closes the connection if sent data stays unacknowledged for @a limit. A failure to set the option is
/// ignored: the request's own timeout still applies.
void limit_unacknowledged_time(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit);

/// While this is enabled, every close of the socket resets the connection, also that by the operating system
/// when the process ends.
/// @return whether the option was set
[[nodiscard]] bool set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled);

/// @return whether the connection can no longer send, because it was reset or timed out; an orderly end of
/// the peer's direction leaves it open
[[nodiscard]] bool is_reset(boost::asio::ip::tcp::socket& socket);

} // namespace masticcourse::detail

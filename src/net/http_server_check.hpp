/// @file
/// One check of the HTTP client whether a server still accepts connections.
#pragma once

#include "http_connection.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace masticcourse::detail
{

/// Opens connections until one shows the state of the server.
class server_check final : public std::enable_shared_from_this<server_check>
{
  public:
    server_check(boost::asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
                 std::string address, server_check_options options, server_check_callback on_result);

    void start();

  private:
    using connection_ptr = std::shared_ptr<http_connection>;

    boost::asio::awaitable<void> run(connection_ptr connection);
    /// @return nothing if the connection was closed by the server, which shows neither
    boost::asio::awaitable<std::optional<server_state>> try_connection(connection_ptr connection);
    /// @return whether the connection was still open after the settle time
    boost::asio::awaitable<bool> stays_open(connection_ptr connection);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<connection_pool> m_pool;
    std::string m_address;
    server_check_options m_options;
    server_check_callback m_on_result;
    int m_tries = 0;
};

} // namespace masticcourse::detail

/// @file
/// A connection of the HTTP client, and the pool of idle connections.
#pragma once

#include "deadline.hpp"

#include "masticcourse/net/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::detail
{

/// A connection with its own strand.
struct http_connection
{
    explicit http_connection(const boost::asio::any_io_executor& executor);

    /// @return false if the peer has closed the connection or sent unsolicited data
    [[nodiscard]] bool is_reusable();

    void close();

    /// Sets the socket's options after the connection was established.
    void set_options();

    /// Limits what is read ahead: a response's header, and a chunk's header with its extensions.
    static constexpr std::size_t max_buffer = std::size_t{128} * 1024;

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{max_buffer};
    deadline timer;
    /// Whether the connection has already served a request.
    bool reused = false;
    /// How long the connection may stay idle, derived from the server's `Keep-Alive` header; 0 if not known.
    std::chrono::milliseconds idle_timeout{0};
    std::chrono::steady_clock::time_point idle_since;
};

/// Idle connections, keyed by address. Thread-safe.
class connection_pool
{
  public:
    /// Often enough that connections to servers that are gone are few, seldom enough for a system call each.
    static constexpr std::chrono::milliseconds default_sweep_interval{4'000};

    /// @param sweep_interval how often all idle connections are looked through; those idle for less are not
    ///                       asked whether they are still open
    explicit connection_pool(std::chrono::milliseconds sweep_interval = default_sweep_interval)
        : m_sweep_interval(sweep_interval)
    {
    }

    /// @param max_idle connections that have been idle for longer are not returned
    /// @return a reusable connection, or null if there is none
    [[nodiscard]] std::shared_ptr<http_connection> acquire(const std::string& address,
                                                           std::chrono::milliseconds max_idle);

    /// Adds a connection that has served a request to the idle connections; if there are too many, the one
    /// that was idle longest is closed.
    void release(const std::string& address, const std::shared_ptr<http_connection>& connection);

    /// Adds a new connection to the idle connections.
    void add(const std::string& address, const std::shared_ptr<http_connection>& connection);

    /// @return the number of idle connections
    [[nodiscard]] std::size_t size();

  private:
    using steady_time = std::chrono::steady_clock::time_point;

    [[nodiscard]] std::shared_ptr<http_connection> pop(const std::string& address);
    /// Closes the connections, to any address, that will not be used again: servers that have gone are sent
    /// no further request with which that would be noticed.
    void close_expired(steady_time now);
    void return_unused(const std::string& address, const std::shared_ptr<http_connection>& connection);

    std::chrono::milliseconds m_sweep_interval;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<std::shared_ptr<http_connection>>> m_idle;
    steady_time m_last_sweep;
};

} // namespace masticcourse::detail

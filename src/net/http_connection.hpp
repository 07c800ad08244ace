/// @file
/// One connection of the HTTP client, and the pool of those that wait for their next request.
#pragma once

#include "deadline.hpp"

#include "masticcourse/net/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::detail
{

/// A connection on a strand of its own.
struct http_connection
{
    explicit http_connection(boost::asio::io_context& context);

    /// @return whether the other end has neither closed nor sent anything unasked
    [[nodiscard]] bool is_reusable();

    void close();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    deadline timer;
    /// Whether an earlier request was answered on it.
    bool reused = false;
    /// How long it may wait for its next request, as the server said.
    std::chrono::milliseconds idle_timeout{0};
    std::chrono::steady_clock::time_point idle_since;
};

/// Idle connections by address. Thread-safe.
class connection_pool
{
  public:
    /// @param longest_idle one that has been idle for longer is not given out
    /// @return a quiet connection, or null if there is none
    [[nodiscard]] std::shared_ptr<http_connection> acquire(const std::string& address,
                                                           std::chrono::milliseconds max_idle);

    /// Keeps @a connection for the next request, unless enough are kept.
    void release(const std::string& address, const std::shared_ptr<http_connection>& connection);

  private:
    [[nodiscard]] std::shared_ptr<http_connection> pop(const std::string& address);
    void return_unused(const std::string& address, const std::shared_ptr<http_connection>& connection);

    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<std::shared_ptr<http_connection>>> m_idle;
};

} // namespace masticcourse::detail

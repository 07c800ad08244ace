/// @file
/// An HTTP/1.1 server: hands each request to a handler and lets any thread answer it, whole or as a stream.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse
{

/// The handle by which one request is answered, once, from any thread. Calls after the end of the answer are
/// ignored. One that is dropped without an answer closes its connection.
class http_exchange
{
  public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    virtual ~http_exchange() = default;

    /// Sends the whole answer.
    virtual void respond(http_response response) = 0;

    /// Sends the head of a streamed answer. Its type is `text/event-stream` unless a header says otherwise.
    virtual void begin_stream(int status, std::vector<http_header> headers) = 0;

    /// Sends a part of a streamed answer. A caller that reads too slowly (`max_stream_backlog`) is cut off.
    virtual void write(std::string chunk) = 0;

    /// Ends a streamed answer.
    virtual void end_stream() = 0;

    /// Sets what is called, on an I/O thread and at most once, when the caller goes away before the answer
    /// ended.
    virtual void on_closed(std::function<void()> callback) = 0;
};

/// Takes each request, on an I/O thread. It must not block; it may answer later.
using http_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// What a server grants its callers.
struct http_limits
{
    std::size_t max_body = std::size_t{8} * 1024 * 1024;
    std::size_t max_header = std::size_t{16} * 1024;
    /// From a request's first byte to its last; if `header_timeout` is set, for its body only.
    std::chrono::milliseconds read_timeout{30'000};
    /// From a request's first byte to the end of its header; zero leaves it to `read_timeout`.
    std::chrono::milliseconds header_timeout{0};
    /// Between two requests of one connection.
    std::chrono::milliseconds idle_timeout{60'000};
    /// For a caller to take the bytes of one write.
    std::chrono::milliseconds write_timeout{30'000};
    /// How long idle connections stay open after `stop_accepting`, for requests on their way.
    std::chrono::milliseconds stop_grace{500};
    /// More connections than these are answered with 503 and closed.
    std::size_t max_connections = 20'000;
    /// Bytes of a stream that may wait for a slow caller.
    std::size_t max_stream_backlog = std::size_t{8} * 1024 * 1024;
};

/// Serves HTTP on one address. Requests over the limits, and malformed ones, are answered with problem
/// documents that say `"ran":"no"`, and never reach the handler. The server must go before its context does;
/// exchanges may be kept longer.
class http_server
{
  public:
    /// @param address "ip:port"; port 0 takes any free one
    /// @throws std::runtime_error if the address can't be bound
    http_server(boost::asio::io_context& context, const std::string& address, http_limits limits,
                http_handler handler);
    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server& operator=(http_server&&) = delete;
    /// Closes all connections at once. The handler may still run on other threads that run the context.
    ~http_server();

    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the limits; requests under way keep those that they began with.
    void set_limits(const http_limits& limits);

    /// From now on every answer says that its connection closes after it. New connections are still taken.
    void announce_close();

    /// Takes no new connections; requests under way are finished, then their connections close.
    void stop_accepting();

    /// @return the number of requests whose first byte has come and whose answer has not been written
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class listener;
    std::shared_ptr<listener> m_listener;
};

} // namespace masticcourse

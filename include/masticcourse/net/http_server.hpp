/// @file
/// An HTTP/1.1 server. Each request is passed to a handler; the response, complete or streamed, may be sent
/// from any thread.
#pragma once

#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/net/http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio
{
class any_io_executor;
class io_context;
} // namespace boost::asio

namespace masticcourse
{

/// The handle for responding to one request, exactly once. Thread-safe. Calls after the end of the response
/// are ignored. Destroying it before the response is complete closes the connection.
class http_exchange
{
  public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    virtual ~http_exchange() = default;

    /// Sends a complete response.
    virtual void respond(http_response response) = 0;

    /// Sends the header of a streamed response. The content type defaults to `text/event-stream`.
    virtual void begin_stream(int status, std::vector<http_header> headers) = 0;

    /// Sends the header of a response whose body follows in parts, with the headers as they are.
    /// @param length size of the body in bytes; if it is not known, the body is sent in chunks
    virtual void begin_body(int status, std::vector<http_header> headers,
                            std::optional<std::uint64_t> length) = 0;

    /// Sends a part of a streamed response. If more than `http_limits::max_stream_backlog` bytes are waiting
    /// to be written because the caller reads too slowly, the connection is closed.
    virtual void write(std::string chunk) = 0;

    /// Ends a streamed response.
    virtual void end_stream() = 0;

    /// Sets a callback for the parts of a streamed response that have been handed to the network. It is
    /// called on an I/O thread with their size in bytes.
    virtual void on_written(std::function<void(std::size_t)> callback) = 0;

    /// Sets a callback for the caller disconnecting before the end of the response. It is called at most
    /// once: on an I/O thread, or directly from this function if the session is already gone.
    virtual void on_closed(std::function<void()> callback) = 0;
};

/// Called on an I/O thread for each request. It must not block; it may respond later.
using http_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// Size, time and connection limits of a server.
struct http_limits
{
    std::size_t max_body = std::size_t{8} * 1024 * 1024;
    std::size_t max_header = std::size_t{16} * 1024;
    /// From the first to the last byte of a request; if `header_timeout` is set, for the body only.
    std::chrono::milliseconds read_timeout{30'000};
    /// From the first byte of a request to the end of its header; if zero, only `read_timeout` applies.
    std::chrono::milliseconds header_timeout{0};
    /// Between two requests on one connection.
    std::chrono::milliseconds idle_timeout{60'000};
    /// For one write to the caller to complete.
    std::chrono::milliseconds write_timeout{30'000};
    /// Within each such span of waiting for a body, at least `min_body_progress` bytes of it must arrive.
    std::chrono::milliseconds body_progress_timeout{5'000};
    std::size_t min_body_progress = std::size_t{4} * 1024;
    /// How long idle connections stay open after `stop_accepting`, so that requests already in transit are
    /// still served.
    std::chrono::milliseconds stop_grace{500};
    /// For a further connection those give way that have been idle longest, else the requests that have been
    /// unfinished longest. If there are none, the further one receives a 503 response and is closed; beyond a
    /// thirty-second more than this, it is closed without one.
    std::size_t max_connections = 20'000;
    /// Bytes of a streamed response that may be queued for a slow caller.
    std::size_t max_stream_backlog = std::size_t{8} * 1024 * 1024;
    /// Bodies that are larger are passed to the handler before they have been read; see http_request::rest.
    std::size_t stream_body_above = std::numeric_limits<std::size_t>::max();
    /// Where the memory that the server holds is reserved; null without a limit. Connections and requests for
    /// which there is no room receive a 503 response.
    memory_account_ptr memory;
    /// Reserved for each request in addition to its header and body.
    std::size_t request_memory = 0;
    /// Makes the response to a request for which there is no room; if empty, a problem document.
    std::function<http_response()> make_memory_full_response;
};

/// Serves HTTP on one address. Malformed requests and requests over the limits never reach the handler; they
/// receive problem documents with `"ran":"no"`. The server must be destroyed before its context; exchanges
/// may outlive it.
class http_server
{
  public:
    /// @param executor runs everything, the handler included
    /// @param address "ip:port"; port 0 selects any free port
    /// @throws std::runtime_error if the address is malformed or cannot be bound
    http_server(const boost::asio::any_io_executor& executor, const std::string& address, http_limits limits,
                http_handler handler);
    http_server(boost::asio::io_context& context, const std::string& address, http_limits limits,
                http_handler handler);
    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server& operator=(http_server&&) = delete;
    /// Closes all connections immediately. The handler may still be running on other threads of the context.
    ~http_server();

    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the limits. A request that is already being read keeps the limits for reading it.
    void set_limits(const http_limits& limits);

    /// From now on, every response carries `Connection: close` and its connection is closed after it. New
    /// connections are still accepted.
    void announce_close();

    /// Stops accepting connections. Requests in progress are completed, then their connections are closed.
    void stop_accepting();

    /// @return the number of requests whose first byte was received and whose response is not yet fully
    /// written
    [[nodiscard]] std::size_t open_exchanges() const;

  private:
    class listener;
    std::shared_ptr<listener> m_listener;
};

} // namespace masticcourse

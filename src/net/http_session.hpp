/// @file
/// One connection of the HTTP server: reads requests sequentially and writes their responses.
#pragma once

#include "deadline.hpp"

#include "masticcourse/net/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::detail
{

class http_session;

/// State shared by all connections of one server.
struct http_server_state
{
    http_limits limits;
    http_handler handler;
    std::atomic<std::size_t> open_exchanges = 0;
    /// Every connection is closed after its current response.
    std::atomic<bool> closing = false;
    /// No new connections are accepted, and idle ones are closed after `http_limits::stop_grace`.
    std::atomic<bool> stopping = false;

    std::mutex mutex;
    std::unordered_map<http_session*, std::weak_ptr<http_session>> sessions;
};

/// All members run on the socket's strand, except the constructor and those marked as thread-safe.
class http_session : public std::enable_shared_from_this<http_session>
{
  public:
    http_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server_state> server);

    /// Serves the connection until it closes.
    void serve();
    /// Responds that the server has too many connections, then closes.
    void reject_connection();
    /// Closes the connection after `http_limits::stop_grace` if it is idle, otherwise after the current
    /// response. Thread-safe.
    void stop();
    /// Closes immediately. Thread-safe.
    void abort();

    /// @name Operations of the exchange with the given number. Thread-safe.
    /// @{
    void post_response(std::uint64_t exchange, http_response response);
    void post_stream(std::uint64_t exchange, int status, std::vector<http_header> headers);
    void post_chunk(std::uint64_t exchange, std::string chunk);
    void post_end(std::uint64_t exchange);
    void post_dropped(std::uint64_t exchange);
    void post_on_closed(std::uint64_t exchange, std::function<void()> callback);
    /// @}

  private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    struct stream_head
    {
        int status = 0;
        std::vector<http_header> headers;
    };

    /// The current response, as far as the handler has provided it.
    struct response_state
    {
        std::uint64_t number = 0;
        std::optional<http_response> response;
        std::optional<stream_head> head;
        std::vector<std::string> chunks;
        std::size_t backlog = 0;
        /// The handler has provided the last part of the response.
        bool complete = false;
        bool dropped = false;
        /// The whole response has been written to the socket.
        bool written = false;
        std::function<void()> on_closed;
    };

    /// Properties of the current request that determine the form of the response.
    struct request_traits
    {
        bool keep_alive = false;
        bool head_only = false;
        unsigned version = 11;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> serve_request();
    boost::asio::awaitable<bool> wait_for_request();
    boost::asio::awaitable<boost::system::error_code> read_request(request_parser& parser);
    boost::asio::awaitable<void> reject_request(boost::system::error_code ec);
    void dispatch(request_parser& parser);

    boost::asio::awaitable<bool> send_response();
    boost::asio::awaitable<bool> write_response(http_response response);
    boost::asio::awaitable<bool> write_head(stream_head head);
    boost::asio::awaitable<bool> write_chunks();
    boost::asio::awaitable<bool> write_end();
    template <typename Buffers>
    boost::asio::awaitable<bool> write_buffers(const Buffers& buffers);
    boost::asio::awaitable<void> wait_for_update();
    boost::asio::awaitable<void> watch_connection();
    boost::asio::awaitable<void> linger();

    template <typename Update>
    void post_update(std::uint64_t exchange, Update update);
    void handle_disconnect();
    void close_after(std::chrono::milliseconds timeout);
    void close();
    void register_session();
    void finish();
    [[nodiscard]] bool chunked() const;

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<http_server_state> m_server;
    boost::beast::flat_buffer m_buffer;
    deadline m_deadline;
    /// Never expires; cancelling it wakes the coroutine that sends the response.
    boost::asio::steady_timer m_wake;
    response_state m_response;
    request_traits m_request;
    bool m_idle = false;
    bool m_caller_disconnected = false;
    bool m_finished = false;
};

} // namespace masticcourse::detail

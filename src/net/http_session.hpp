/// @file
/// One connection of the HTTP server: reads requests sequentially and writes their responses.
#pragma once

#include "deadline.hpp"
#include "read_pace.hpp"
#include "request_parser.hpp"

#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/net/http_body.hpp"
#include "masticcourse/net/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
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

/// Size of the buffer of an idle connection, in bytes. Most requests fit into it.
inline constexpr std::size_t idle_read_size = std::size_t{2} * 1024;

/// State shared by all connections of one server.
struct http_server_state
{
    http_limits limits;
    http_handler handler;
    std::atomic<std::size_t> open_exchanges = 0;
    /// Connections that are told that there is no room.
    std::atomic<std::size_t> refused_connections = 0;
    /// Every connection is closed after its current response.
    std::atomic<bool> closing = false;
    /// No new connections are accepted, and idle ones are closed after `http_limits::stop_grace`.
    std::atomic<bool> stopping = false;

    /// When a connection last found none that could give way to it.
    std::chrono::steady_clock::time_point no_room_since;

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
    /// Closes the connection if it is idle. Thread-safe.
    void close_if_idle();
    /// @return since when the connection has been idle, or has waited for the caller to close it; nothing
    /// while a request is in progress. Thread-safe.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> idle_since() const;
    /// @return since when a request has been arriving that is handled once it is whole; nothing unless a part
    /// of one has been read. Thread-safe.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> unfinished_since() const;
    /// Refuses the current request for lack of room unless it has arrived. Thread-safe.
    void refuse_unfinished();
    /// Reserves the memory that an open connection takes.
    /// @return false if there is no room
    [[nodiscard]] bool reserve_connection();
    /// Closes immediately. Thread-safe.
    void abort();

    /// @name Operations of the exchange with the given number. Thread-safe.
    /// @{
    void post_response(std::uint64_t exchange, http_response response);
    void post_stream(std::uint64_t exchange, int status, std::vector<http_header> headers);
    void post_body(std::uint64_t exchange, int status, std::vector<http_header> headers,
                   std::optional<std::uint64_t> length);
    void post_chunk(std::uint64_t exchange, std::string chunk);
    void post_end(std::uint64_t exchange);
    void post_dropped(std::uint64_t exchange);
    void post_on_closed(std::uint64_t exchange, std::function<void()> callback);
    void post_on_written(std::uint64_t exchange, std::function<void(std::size_t)> callback);
    /// Asks for the next part of the request's body.
    void post_read(std::uint64_t exchange, http_body_callback on_part);
    /// @}

  private:
    struct stream_head
    {
        int status = 0;
        std::vector<http_header> headers;
        /// Whether the headers are sent as they are, without those of an event stream.
        bool plain = false;
        /// Size of the body, if it is known; otherwise it is sent in chunks.
        std::optional<std::uint64_t> length;
    };

    /// The current response, as far as the handler has provided it.
    struct response_state
    {
        std::uint64_t number = 0;
        std::optional<http_response> response;
        std::optional<stream_head> head;
        std::deque<std::string> chunks;
        std::size_t backlog = 0;
        /// The handler has provided the last part of the response.
        bool complete = false;
        bool dropped = false;
        /// The whole response has been written to the socket.
        bool written = false;
        std::function<void()> on_closed;
        std::function<void(std::size_t)> on_written;
    };

    /// Properties of the current request that determine the form of the response.
    struct request_traits
    {
        bool keep_alive = false;
        bool head_only = false;
        unsigned version = 11;
        /// The whole body has been read.
        bool body_read = true;
        /// The caller waits for an interim response before it sends the body.
        bool expects_continue = false;
        /// The response has no end of its own but the end of the connection.
        bool until_close = false;
        /// The response is sent in chunks.
        bool chunked = false;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> serve_request();
    boost::asio::awaitable<bool> wait_for_request();
    /// @name Reading a request
    /// @{
    /// Reads the header, and the body unless it is passed on while it is read.
    boost::asio::awaitable<boost::system::error_code> read_request(request_parser& parser, std::string& body);
    boost::asio::awaitable<boost::system::error_code> read_head(request_parser& parser);
    boost::asio::awaitable<boost::system::error_code> read_short_body(request_parser& parser,
                                                                      std::string& body);
    /// Reads at least one more byte of the body, unless it ends, and as much as is at hand up to the size of
    /// a part.
    /// @param part receives what was read
    boost::asio::awaitable<boost::system::error_code> read_part(request_parser& parser, std::string& part);
    /// Waits for further bytes of the body or its framing, @a size at most.
    boost::asio::awaitable<boost::system::error_code> read_body_input(std::size_t size);
    /// Parses what has been read.
    /// @param part receives the bytes of the body, until it holds @a max_size
    boost::system::error_code parse_body(request_parser& parser, std::string& part, std::size_t max_size);
    /// Reads the parts of the body for which the handler asks, until it has been read.
    boost::asio::awaitable<boost::system::error_code> read_rest(request_parser& parser);
    boost::asio::awaitable<boost::system::error_code> send_continue();
    void deliver_part(http_body_part part);
    /// Waits for a further part of the header.
    boost::asio::awaitable<boost::system::error_code> read_header_part(const request_parser& parser);
    /// Parses what has been read of the header, and reserves the memory for it.
    boost::system::error_code parse_header_part(request_parser& parser);
    /// Reserves the memory for a header as far as it has arrived. Without room, those that have been
    /// unfinished longest give way.
    [[nodiscard]] bool reserve_header(const request_parser& parser);
    [[nodiscard]] bool streams_body(const request_parser& parser) const;
    /// Reserves the memory for a request that has arrived in part: @a held bytes in all, @a body_size of them
    /// of its body.
    [[nodiscard]] bool reserve_incoming(std::size_t held, std::size_t body_size);
    /// Reserves the memory for a request that has arrived as far as it is read before it is handled.
    [[nodiscard]] bool reserve_request(std::size_t head_size, std::size_t body_size);
    /// Only the receiving direction is shut down, so that a response can still be sent.
    void stop_reading_after(std::chrono::milliseconds timeout);
    boost::asio::awaitable<void> reject_request(boost::system::error_code ec);
    [[nodiscard]] http_response memory_full_response() const;
    void dispatch(request_parser& parser, std::string body);
    /// @}

    boost::asio::awaitable<bool> send_response();
    boost::asio::awaitable<bool> write_response(http_response response);
    boost::asio::awaitable<bool> write_head(stream_head head);
    boost::asio::awaitable<bool> write_chunks();
    boost::asio::awaitable<bool> write_end();
    template <typename Buffers>
    boost::asio::awaitable<bool> write_buffers(const Buffers& buffers);
    boost::asio::awaitable<void> wait_for_update();
    boost::asio::awaitable<void> watch_connection(request_parser& parser);
    /// Buffers what the caller sends after the current request, and notices when it disconnects.
    boost::asio::awaitable<boost::system::error_code> read_ahead();
    boost::asio::awaitable<void> linger();
    /// Reads what has arrived and drops it.
    boost::system::error_code discard_input();

    template <typename Update>
    void post_update(std::uint64_t exchange, Update update);
    void handle_disconnect();
    void close_after(std::chrono::milliseconds timeout);
    void close();
    /// Marks the connection as one that may be closed to make room.
    void begin_idle();
    void end_idle();
    void register_session();
    void finish();
    void free_buffer();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<http_server_state> m_server;
    boost::beast::flat_buffer m_buffer;
    deadline m_deadline;
    /// Never expires; cancelling it wakes the coroutine that sends the response.
    boost::asio::steady_timer m_wake;
    response_state m_response;
    request_traits m_request;
    /// @name The body of the current request, as far as it has not been read
    /// @{
    /// Set while the handler waits for a part.
    http_body_callback m_on_part;
    /// Never expires; cancelling it wakes the coroutine that reads the body.
    boost::asio::steady_timer m_part_wanted;
    read_pace m_pace;
    bool m_sending_continue = false;
    bool m_response_begun = false;
    /// @}
    /// @name Memory that is held for the caller
    /// @{
    memory_lease m_connection_memory;
    /// For a request until it has arrived.
    memory_lease m_incoming_memory;
    memory_lease m_request_memory;
    memory_lease m_response_memory;
    /// For what follows the current request.
    memory_lease m_read_ahead_memory;
    bool m_memory_full = false;
    /// @}
    bool m_idle = false;
    std::atomic<std::chrono::steady_clock::rep> m_idle_since = 0;
    std::atomic<std::chrono::steady_clock::rep> m_unfinished_since = 0;
    bool m_caller_disconnected = false;
    bool m_finished = false;
};

} // namespace masticcourse::detail

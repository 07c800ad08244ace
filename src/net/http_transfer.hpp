/// @file
/// One request of the HTTP client in progress: connects, sends the request, reads the response, and retries
/// where that is safe.
#pragma once

#include "http_connection.hpp"

#include "masticcourse/memory/memory_account.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse::detail
{

/// Runs on the strand of its connection; `cancel` is thread-safe.
class http_transfer final : public http_stream, public std::enable_shared_from_this<http_transfer>
{
  public:
    /// @param on_chunk if empty, the whole body is returned in the reply
    http_transfer(boost::asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
                  const http_response_limits& limits, http_client_request request,
                  http_chunk_callback on_chunk, http_reply_callback on_reply);

    void start();
    void cancel() override;
    void pause() override;
    void resume() override;

  private:
    using reply_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    using connection_ptr = std::shared_ptr<http_connection>;

    void start_on(const connection_ptr& connection);
    boost::asio::awaitable<void> run(connection_ptr connection);
    boost::asio::awaitable<bool> connect(connection_ptr connection);
    boost::asio::awaitable<bool> exchange(connection_ptr connection);
    boost::asio::awaitable<bool> exchange_streamed(connection_ptr connection);
    boost::asio::awaitable<bool> write_request(connection_ptr connection);
    /// Writes the header and the body, reading the rest of the body part by part. Does not end before the
    /// response has been read, even if the server reads no more.
    boost::asio::awaitable<void> write_streamed(connection_ptr connection);
    /// @return whether all was written
    boost::asio::awaitable<bool> write_parts(connection_ptr connection);
    /// Reads the next part of the rest of the body.
    boost::asio::awaitable<http_body_part> next_part();
    void count_send(const http_connection& connection, std::size_t written);
    /// Reads a response, and before it those to other requests.
    boost::asio::awaitable<bool> read_matching_response(connection_ptr connection);
    boost::asio::awaitable<bool> read_response(connection_ptr connection);
    boost::asio::awaitable<bool> read_head(connection_ptr connection, reply_parser& parser);
    /// Reads up to the end of the header.
    boost::asio::awaitable<boost::system::error_code> read_head_bytes(connection_ptr connection,
                                                                      reply_parser& parser);
    /// Takes over what the header says.
    /// @return whether it is that of a response
    [[nodiscard]] bool accept_head(const reply_parser& parser);
    boost::asio::awaitable<bool> read_body(connection_ptr connection, reply_parser& parser);
    /// @return whether the body that has been read to its end is whole, as far as its connection tells
    [[nodiscard]] bool ended_in_order(http_connection& connection, const reply_parser& parser) const;
    [[nodiscard]] std::chrono::milliseconds remaining_time() const;
    /// @return false if the body exceeds a limit
    [[nodiscard]] bool deliver_chunk(std::string_view chunk);
    /// Counts a further part of the body that is collected.
    /// @return false if there is no room for it
    [[nodiscard]] bool hold(std::size_t size);

    [[nodiscard]] bool may_retry(const http_connection& connection) const;
    [[nodiscard]] bool is_streaming() const;
    /// Waits while the response is paused.
    boost::asio::awaitable<void> wait_while_paused(connection_ptr connection);
    void set_timer(const connection_ptr& connection, std::chrono::milliseconds delay) const;
    void set_timer(const connection_ptr& connection) const;
    void fail_to_connect();
    void fail(http_failure failure);
    void finish(const connection_ptr& connection);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<connection_pool> m_pool;
    std::size_t m_max_body;
    /// For the part of the body that is collected.
    memory_lease m_memory;
    http_client_request m_request;
    http_chunk_callback m_on_chunk;
    http_reply_callback m_on_reply;
    std::chrono::steady_clock::time_point m_deadline;
    http_client_reply m_reply;
    /// Holds memory only while a body is read.
    std::string m_read_buffer;
    http_send_report m_send_report;
    bool m_response_started = false;
    bool m_keep_alive = false;
    /// The response being read belongs to another request.
    bool m_response_mismatched = false;
    /// Bytes of the bodies of such responses.
    std::size_t m_skipped_bytes = 0;
    /// A write on the current connection failed.
    bool m_write_failed = false;
    /// A part of the request has been written on the current connection.
    bool m_sent_here = false;
    /// All of a streamed request has been written.
    bool m_all_sent = false;
    /// The next part of the request's body, once it has been read.
    std::optional<http_body_part> m_part;

    std::mutex m_mutex;
    /// Guarded by @a m_mutex: the connection to close on cancellation. The coroutine owns the connection, so
    /// that a handle that outlives the I/O context does not hold one of its sockets.
    std::weak_ptr<http_connection> m_connection;
    std::atomic<bool> m_cancelled = false;
    std::atomic<bool> m_paused = false;
    /// Never expires; cancelling it wakes the coroutine that waits for a part or for the end of a pause.
    /// Accessed only on the strand of the connection.
    std::optional<boost::asio::steady_timer> m_wake;
    std::optional<boost::asio::steady_timer> m_unpaused;
};

} // namespace masticcourse::detail

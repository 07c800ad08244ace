/// @file
/// An asynchronous HTTP/1.1 client with a keep-alive connection pool per address. A request that may have
/// been executed is never resent unless its sender allows it; by default only GET and HEAD are. A failure
/// says what is true of all connections on which the request was sent, not only of the last one.
#pragma once

#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/net/http_body.hpp"
#include "masticcourse/net/http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio
{
class any_io_executor;
class io_context;
} // namespace boost::asio

namespace masticcourse
{

struct http_client_reply;

using http_head_filter = std::function<bool(const http_client_reply&)>;
using http_head_callback = std::function<void(const http_client_reply&)>;

struct http_client_request
{
    /// "ip:port"
    std::string address;
    std::string method = "GET";
    /// Path and query, percent-encoded.
    std::string target = "/";
    /// The body; its beginning if there is a `rest`.
    std::string body;
    /// Where the rest of the body is read from while it is sent; null if `body` is all of it. It is read only
    /// once the connection is established and all before it has been written.
    std::shared_ptr<http_body_source> rest;
    /// Size of the whole body in bytes, with the `rest`; if it is not known, the body is sent in chunks.
    std::optional<std::uint64_t> body_length;
    std::vector<http_header> headers;
    /// Limits the whole request; for a streamed response, the time without any data.
    std::chrono::milliseconds timeout{10'000};
    /// Limits connection establishment; if zero, only `timeout` applies.
    std::chrono::milliseconds connect_timeout{0};
    /// Pooled connections that have been idle for longer are not used; zero always opens a new connection.
    std::chrono::milliseconds max_idle{std::chrono::hours{1}};
    /// Whether the client itself may send the request once more, on a new connection, if a kept one ends
    /// before the response; if unset, only GET and HEAD. A sender that limits or counts how often it sends
    /// sets it to false.
    std::optional<bool> may_resend;
    /// Returns false for a response that belongs to another request; such responses are read and discarded.
    /// If empty, every response is accepted.
    http_head_filter is_matching_response;
    /// Called once with the response's status and headers, before any part of its body.
    http_head_callback on_head;
    /// Whether the body of a streamed response is delivered in parts whatever its status is.
    bool stream_any_status = false;
};

/// Whether a server was found to accept connections.
enum class server_state : std::uint8_t
{
    /// A connection was opened and stayed open.
    listening,
    /// A connection was refused: no process listens at the address.
    ended,
    /// Neither was found in time.
    unknown,
};

struct server_check_options
{
    std::chrono::milliseconds connect_timeout{0};
    /// How long a connection must stay open. When a process ends, its listener may close a moment later than
    /// its connections.
    std::chrono::milliseconds settle_time{0};
    /// How often a new connection is opened after the server has closed one, as it also does with too many.
    int max_tries = 1;
};

using server_check_callback = std::function<void(server_state)>;

/// Why no complete response was received.
enum class http_failure : std::uint8_t
{
    none,
    /// The connection could not be established, and no part of the request was sent on an earlier one.
    connect,
    /// The request was sent, at least in part, and the response did not arrive in time.
    timeout,
    /// The connection was lost after at least part of the request was sent, or the stream was cancelled.
    broken,
};

/// @return a description that also says whether the request may have taken effect
[[nodiscard]] std::string_view to_string(http_failure failure);

/// How the end of a response's body is marked.
enum class body_framing : std::uint8_t
{
    /// There is no body, or no response header was received.
    none,
    /// By the length stated in the header.
    length,
    /// By a last chunk.
    chunked,
    /// By the server closing the connection. An orderly close ends the body, a reset cuts it off.
    until_close,
};

[[nodiscard]] std::string_view to_string(body_framing framing);

/// How a response's body was received, for logs and metrics.
struct http_body_report
{
    body_framing framing = body_framing::none;
    /// Size of the received part of the body in bytes, without chunk headers.
    std::uint64_t bytes = 0;
    /// The connection's error while the response was read; empty if there was none.
    std::string error;
};

/// How a request was written, over all connections that it needed.
struct http_send_report
{
    /// Connections on which at least a part of the request was written, so that the server may have read it.
    std::uint32_t sends = 0;
    /// Whether the last of them had served another request before.
    bool kept_connection = false;
    /// Whether the client sent the request again and could not establish that connection.
    bool reconnect_failed = false;
};

struct http_client_reply
{
    http_failure failure = http_failure::none;
    /// The failure is that something took too long, the connection's establishment included.
    bool timed_out = false;
    /// 0 if no response header was received.
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// Size of the body in bytes, if the header states it.
    std::optional<std::uint64_t> stated_length;
    http_body_report body_report;
    http_send_report send_report;

    /// @return the value of the first header named @a name, compared case-insensitively
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// @return whether @a address has the form "ip:port" that the client accepts
[[nodiscard]] bool is_valid_endpoint(std::string_view address);

using http_reply_callback = std::function<void(http_client_reply)>;
using http_chunk_callback = std::function<void(std::string_view)>;

/// A streamed response in progress.
class http_stream
{
  public:
    http_stream() = default;
    http_stream(const http_stream&) = delete;
    http_stream(http_stream&&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    http_stream& operator=(http_stream&&) = delete;
    virtual ~http_stream() = default;

    /// Closes the connection, which the server can observe. Thread-safe; `on_end` is still called exactly
    /// once.
    virtual void cancel() = 0;

    /// Stops reading the response, so that the server has to wait; a part that is being read is still
    /// delivered. The timeout does not run meanwhile. Thread-safe.
    virtual void pause() = 0;

    /// Reads on. Thread-safe.
    virtual void resume() = 0;
};

/// Limits for the bodies of responses that are collected, not streamed. A response that exceeds one is cut
/// off as if its connection had broken: a server may send without end.
struct http_response_limits
{
    /// Size of one body in bytes.
    std::size_t max_body = std::size_t{64} * 1024 * 1024;
    /// Where the bodies are counted while they are received; may be null. Nobody but the sender of the
    /// request knows whether it can do without the response, so only long ones are cut off for lack of room.
    memory_account_ptr memory = nullptr;
};

/// Thread-safe; callbacks run on the executor. The client must be destroyed before the executor's context,
/// because it holds open sockets.
class http_client
{
  public:
    explicit http_client(const boost::asio::any_io_executor& executor, http_response_limits limits = {});
    explicit http_client(boost::asio::io_context& context, http_response_limits limits = {});
    http_client(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client& operator=(http_client&&) = delete;
    /// Requests in progress continue and still invoke their callbacks.
    ~http_client();

    /// Sends a request; @a on_reply is called exactly once.
    void send(http_client_request request, http_reply_callback on_reply);

    /// Sends a request whose response is delivered incrementally.
    /// @param on_chunk receives each part of the body of a 2xx response, or of any if `stream_any_status` is
    ///                 set; other bodies are in the reply as a whole
    /// @param on_end   called exactly once, after the last part
    /// @return a handle for cancelling; destroying it does not cancel the request
    std::shared_ptr<http_stream> open_stream(http_client_request request, http_chunk_callback on_chunk,
                                             http_reply_callback on_end);

    /// Checks whether a server accepts connections, without sending anything. A connection that stays open is
    /// kept for later requests.
    /// @param on_result called exactly once
    void check_server(const std::string& address, const server_check_options& options,
                      server_check_callback on_result);

  private:
    class pool;
    std::shared_ptr<pool> m_pool;
};

} // namespace masticcourse

/// @file
/// An asynchronous HTTP/1.1 client that keeps connections open for each address. No request that might have
/// run is sent twice, unless its method is GET or HEAD.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio
{
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
    std::string body;
    std::vector<http_header> headers;
    /// For the whole request; of a stream: the longest silence.
    std::chrono::milliseconds timeout{10'000};
    /// For opening a connection; zero leaves it to `timeout`.
    std::chrono::milliseconds connect_timeout{0};
    /// Connections that have been idle for longer are not used for it; zero opens a new one.
    std::chrono::milliseconds max_idle{std::chrono::hours{1}};
    /// Whether it does no harm if the request runs twice; if unset, GET and HEAD count as harmless.
    std::optional<bool> idempotent;
    /// Answers for which this is false belong to other requests: they are read and dropped. Empty takes all.
    http_head_filter is_matching_response;
    /// Called once with the head of the answer, before its first piece.
    http_head_callback on_head;
};

/// Why there is no whole answer.
enum class http_failure : std::uint8_t
{
    none,
    /// No connection: nothing of the request was sent.
    connect,
    /// The request was sent, perhaps in part, and the answer did not come in time.
    timeout,
    /// The connection broke after the request, or a part of it, was sent; or the stream was cancelled.
    broken,
};

/// @return the failure in words, with whether the request may have taken effect
[[nodiscard]] std::string_view to_string(http_failure failure);

struct http_client_reply
{
    http_failure failure = http_failure::none;
    /// 0 until the head of the answer has come.
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// @return the value of the first header called @a name, whatever its case
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// @return whether the client can connect to @a address: "ip:port"
[[nodiscard]] bool is_valid_endpoint(std::string_view address);

using http_reply_callback = std::function<void(http_client_reply)>;
using http_chunk_callback = std::function<void(std::string_view)>;

/// A streamed answer under way.
class http_stream
{
  public:
    http_stream() = default;
    http_stream(const http_stream&) = delete;
    http_stream(http_stream&&) = delete;
    http_stream& operator=(const http_stream&) = delete;
    http_stream& operator=(http_stream&&) = delete;
    virtual ~http_stream() = default;

    /// Closes the connection, so that the server sees it. From any thread; `on_end` is still called, once.
    virtual void cancel() = 0;
};

/// Sends requests. All members may be called from any thread; callbacks run on the context's threads.
/// The client must go before its context does: it keeps connections open.
class http_client
{
  public:
    explicit http_client(boost::asio::io_context& context);
    http_client(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client& operator=(http_client&&) = delete;
    /// Requests under way go on and still call back.
    ~http_client();

    /// Sends a request and calls back once.
    void send(http_client_request request, http_reply_callback on_reply);

    /// Sends a request whose answer is read piece by piece.
    /// @param on_chunk takes each piece of a 2xx answer's body; other bodies come whole in the reply
    /// @param on_end   is called once, after the last piece
    /// @return a handle; dropping it does not cancel
    std::shared_ptr<http_stream> open_stream(http_client_request request, http_chunk_callback on_chunk,
                                             http_reply_callback on_end);

  private:
    class pool;
    std::shared_ptr<pool> m_pool;
};

} // namespace masticcourse

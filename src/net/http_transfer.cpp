#include "http_transfer.hpp"

#include "endpoint.hpp"
#include "http_answer.hpp"
#include "use_tuple.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned http_1_1 = 11;
constexpr int status_class_success = 2;
constexpr std::uint32_t max_reply_header = 64 * 1024;
/// How many responses to other requests are skipped on one connection before the request fails.
constexpr int max_mismatched_responses = 4;

template <typename Parser>
body_framing framing_of(const Parser& parser)
{
    if (parser.chunked())
    {
        return body_framing::chunked;
    }
    if (parser.need_eof())
    {
        return body_framing::until_close;
    }
    return parser.content_length().value_or(0) > 0 ? body_framing::length : body_framing::none;
}

http::request<http::string_body> to_message(http_client_request& request)
{
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.address);
    const auto add_header = [&message](const http_header& it)
    {
        if (boost::beast::iequals(it.name, "host"))
        {
            message.set(http::field::host, it.value);
        }
        else
        {
            // insert, not set: repeated headers are all sent.
            message.insert(it.name, it.value);
        }
    };
    std::ranges::for_each(request.headers, add_header);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// @return how long the connection may stay idle: less than the stated timeout, because the next request must
/// reach the server before it closes the connection
std::chrono::milliseconds parse_keep_alive_timeout(std::string_view keep_alive_header)
{
    // Four fifths of a timeout of whole seconds leave at least 200 ms of network delay.
    constexpr int usable_ms_per_second = 800;
    constexpr std::string_view name = "timeout=";
    const auto position = keep_alive_header.find(name);
    int seconds = 0;
    if (position != std::string_view::npos)
    {
        const auto digits = keep_alive_header.substr(position + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return std::chrono::milliseconds{usable_ms_per_second} * seconds;
}

} // namespace

http_transfer::http_transfer(asio::io_context& context, std::shared_ptr<connection_pool> pool,
                             std::shared_ptr<response_memory> memory, http_client_request request,
                             http_chunk_callback on_chunk, http_reply_callback on_reply)
    : m_context(context), m_pool(std::move(pool)), m_memory(std::move(memory)), m_request(std::move(request)),
      m_on_chunk(std::move(on_chunk)), m_on_reply(std::move(on_reply)),
      m_deadline(std::chrono::steady_clock::now() + m_request.timeout)
{
}

void http_transfer::start()
{
    auto connection = m_pool->acquire(m_request.address, m_request.max_idle);
    start_on(connection ? connection : std::make_shared<http_connection>(m_context));
}

void http_transfer::start_on(const connection_ptr& connection)
{
    asio::co_spawn(
        connection->socket.get_executor(),
        [self = shared_from_this(), connection] { return self->run(connection); }, asio::detached);
}

void http_transfer::cancel()
{
    connection_ptr connection;
    {
        const std::scoped_lock lock(m_mutex);
        m_cancelled = true;
        connection = m_connection.lock();
    }
    if (connection)
    {
        asio::post(connection->socket.get_executor(),
                   [self = shared_from_this(), connection]
                   {
                       // The connection may have been returned to the pool in the meantime.
                       const std::scoped_lock lock(self->m_mutex);
                       if (self->m_connection.lock() == connection)
                       {
                           connection->close();
                       }
                   });
    }
}

asio::awaitable<void> http_transfer::run(connection_ptr connection)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_connection = connection;
    }
    if (m_cancelled)
    {
        fail(http_failure::broken);
    }
    else if (connection->socket.is_open() || co_await connect(connection))
    {
        set_timer(connection);
        const bool complete = co_await exchange(connection);
        connection->timer.clear();
        if (!complete && may_retry(*connection))
        {
            connection->close();
            start_on(std::make_shared<http_connection>(m_context));
            co_return;
        }
        if (!complete)
        {
            fail(connection->timer.expired() ? http_failure::timeout : http_failure::broken);
        }
    }
    finish(connection);
}

asio::awaitable<bool> http_transfer::connect(connection_ptr connection)
{
    const auto endpoint = parse_endpoint(m_request.address);
    if (!endpoint)
    {
        fail_to_connect();
        co_return false;
    }
    const auto connect_limit = m_request.connect_timeout;
    set_timer(connection,
              connect_limit.count() > 0 ? std::min(connect_limit, remaining_time()) : remaining_time());
    const auto [ec] = co_await connection->socket.async_connect(*endpoint, use_tuple);
    connection->timer.clear();
    if (ec || !connection->socket.is_open())
    {
        fail_to_connect();
        co_return false;
    }
    connection->set_options();
    co_return true;
}

asio::awaitable<bool> http_transfer::exchange(connection_ptr connection)
{
    // A server that rejects a request may respond before reading all of it, so the response is read even if
    // the write failed midway.
    const bool sent = co_await write_request(connection);
    if (!sent && m_send_report.sends == 0)
    {
        co_return false;
    }
    bool complete = co_await read_response(connection);
    for (int n = 0; complete && m_response_mismatched && n < max_mismatched_responses; ++n)
    {
        m_reply = {};
        complete = m_keep_alive && co_await read_response(connection);
    }
    m_keep_alive = m_keep_alive && sent;
    co_return complete && !m_response_mismatched;
}

asio::awaitable<bool> http_transfer::read_response(connection_ptr connection)
{
    reply_parser parser;
    parser.header_limit(max_reply_header);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(m_request.method == "HEAD");
    if (!co_await read_head(connection, parser))
    {
        co_return false;
    }
    co_return co_await read_body(connection, parser);
}

asio::awaitable<bool> http_transfer::read_head(connection_ptr connection, reply_parser& parser)
{
    const auto [ec, n] =
        co_await http::async_read_header(connection->socket, connection->buffer, parser, use_tuple);
    m_response_started = m_response_started || n > 0 || connection->buffer.size() > 0;
    if (ec)
    {
        m_reply.body_report.error = ec.message();
        co_return false;
    }
    m_reply.body_report.framing = framing_of(parser);
    m_reply.status = static_cast<int>(parser.get().result_int());
    m_reply.headers = to_headers(parser.get());
    m_keep_alive = parser.get().keep_alive() && !parser.need_eof();
    if (const auto keep_alive_header = find_header(m_reply.headers, "Keep-Alive"))
    {
        connection->idle_timeout = parse_keep_alive_timeout(*keep_alive_header);
    }
    m_response_mismatched = m_request.is_matching_response && !m_request.is_matching_response(m_reply);
    if (!m_response_mismatched && m_request.on_head)
    {
        m_request.on_head(m_reply);
    }
    co_return true;
}

asio::awaitable<bool> http_transfer::write_request(connection_ptr connection)
{
    const auto message = to_message(m_request);
    http::request_serializer<http::string_body> serializer(message);
    error_code ec;
    std::size_t written_here = 0;
    while (!ec && !serializer.is_done())
    {
        const auto [write_ec, n] = co_await http::async_write_some(connection->socket, serializer, use_tuple);
        written_here += n;
        ec = write_ec;
    }
    if (written_here > 0)
    {
        ++m_send_report.sends;
        m_send_report.kept_connection = connection->reused;
    }
    co_return !ec;
}

asio::awaitable<bool> http_transfer::read_body(connection_ptr connection, reply_parser& parser)
{
    auto& body = parser.get().body();
    error_code ec;
    if (is_streaming())
    {
        set_timer(connection);
    }
    while (!ec && !parser.is_done())
    {
        body.data = m_read_buffer.data();
        body.size = m_read_buffer.size();
        const auto [read_ec, n] =
            co_await http::async_read_some(connection->socket, connection->buffer, parser, use_tuple);
        ec = read_ec == http::error::need_buffer ? error_code{} : read_ec;
        if (!deliver_chunk({m_read_buffer.data(), m_read_buffer.size() - body.size}))
        {
            ec = http::error::body_limit;
        }
        if (is_streaming() && n > 0)
        {
            set_timer(connection);
        }
    }
    if (ec)
    {
        m_reply.body_report.error = ec.message();
    }
    co_return !ec;
}

bool http_transfer::is_streaming() const
{
    return m_on_chunk && !m_response_mismatched && m_reply.status / 100 == status_class_success;
}

bool http_transfer::deliver_chunk(std::string_view chunk)
{
    if (chunk.empty())
    {
        return true;
    }
    if (!m_memory->reserve(chunk.size(), m_reserved))
    {
        return false;
    }
    m_reply.body_report.bytes += chunk.size();
    if (is_streaming())
    {
        m_on_chunk(chunk);
    }
    else
    {
        m_reply.body += chunk;
    }
    return true;
}

bool http_transfer::may_retry(const http_connection& connection) const
{
    const bool safe_method = m_request.method == "GET" || m_request.method == "HEAD";
    const bool unread = m_send_report.sends == 0;
    return connection.reused && !m_response_started &&
           (unread || m_request.may_resend.value_or(safe_method)) && !m_cancelled &&
           !connection.timer.expired();
}

std::chrono::milliseconds http_transfer::remaining_time() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_deadline - std::chrono::steady_clock::now());
}

void http_transfer::set_timer(const connection_ptr& connection) const
{
    set_timer(connection, is_streaming() ? m_request.timeout : remaining_time());
}

void http_transfer::set_timer(const connection_ptr& connection, std::chrono::milliseconds delay) const
{
    connection->timer.set(delay,
                          [weak = std::weak_ptr{connection}]
                          {
                              if (const auto locked = weak.lock())
                              {
                                  locked->close();
                              }
                          });
}

void http_transfer::fail_to_connect()
{
    // An earlier connection may have carried the request to the server.
    m_send_report.reconnect_failed = m_send_report.sends > 0;
    fail(m_send_report.reconnect_failed ? http_failure::broken : http_failure::connect);
}

void http_transfer::fail(http_failure failure)
{
    m_reply.failure = failure;
}

void http_transfer::finish(const connection_ptr& connection)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_connection.reset();
    }
    const bool keep = m_reply.failure == http_failure::none && m_keep_alive && !m_cancelled;
    if (keep && connection->socket.is_open())
    {
        m_pool->release(m_request.address, connection);
    }
    else
    {
        connection->close();
    }
    m_reply.send_report = m_send_report;
    m_memory->release(std::exchange(m_reserved, 0));
    const auto on_reply = std::exchange(m_on_reply, nullptr);
    m_on_chunk = nullptr;
    m_request.on_head = nullptr;
    m_request.is_matching_response = nullptr;
    on_reply(std::move(m_reply));
}

} // namespace masticcourse::detail

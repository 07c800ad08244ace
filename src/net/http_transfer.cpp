#include "http_transfer.hpp"

#include "endpoint.hpp"
#include "http_answer.hpp"
#include "response_check.hpp"
#include "tcp_options.hpp"
#include "use_tuple.hpp"

#include "masticcourse/memory/free_storage.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
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
/// How many interim responses may come before a response.
constexpr int max_interim_responses = 16;
/// How much of the bodies of responses to other requests is read and dropped before the request fails, in
/// bytes: reading one without end would take the processor until the request's deadline.
constexpr std::size_t max_skipped_bytes = std::size_t{256} * 1024;
/// How much of a body is collected whether or not there is room for it, in bytes.
constexpr std::size_t max_unreserved_body = std::size_t{256} * 1024;
/// How much of a header is read at a time, in bytes.
constexpr std::size_t max_head_read = std::size_t{16} * 1024;
/// How much of a body is read at a time, in bytes.
constexpr std::size_t read_buffer_size = std::size_t{16} * 1024;

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

/// @return the header of @a request
http::request<http::empty_body> to_head(const http_client_request& request)
{
    http::request<http::empty_body> message;
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
    return message;
}

/// @return a message that refers to the body of @a request
http::request<http::span_body<const char>> to_message(const http_client_request& request)
{
    http::request<http::span_body<const char>> message{to_head(request).base()};
    message.body() = {request.body.data(), request.body.size()};
    message.prepare_payload();
    return message;
}

/// @return a message whose body follows in parts, the first of which is in @a request
http::request<http::buffer_body> to_streamed_message(http_client_request& request)
{
    http::request<http::buffer_body> message{to_head(request).base()};
    if (request.body_length)
    {
        message.content_length(*request.body_length);
    }
    else
    {
        message.chunked(true);
    }
    message.body().data = request.body.empty() ? nullptr : request.body.data();
    message.body().size = request.body.size();
    message.body().more = true;
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

http_transfer::http_transfer(asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
                             const http_response_limits& limits, http_client_request request,
                             http_chunk_callback on_chunk, http_reply_callback on_reply)
    : m_executor(std::move(executor)), m_pool(std::move(pool)), m_max_body(limits.max_body),
      m_memory(limits.memory, memory_use::responses), m_request(std::move(request)),
      m_on_chunk(std::move(on_chunk)), m_on_reply(std::move(on_reply)),
      m_deadline(std::chrono::steady_clock::now() + m_request.timeout)
{
}

void http_transfer::start()
{
    auto connection = m_pool->acquire(m_request.address, m_request.max_idle);
    start_on(connection ? connection : std::make_shared<http_connection>(m_executor));
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
                           self->m_wake->cancel();
                           self->m_unpaused->cancel();
                       }
                   });
    }
}

void http_transfer::pause()
{
    m_paused = true;
}

void http_transfer::resume()
{
    if (!m_paused.exchange(false))
    {
        return;
    }
    connection_ptr connection;
    {
        const std::scoped_lock lock(m_mutex);
        connection = m_connection.lock();
    }
    if (connection)
    {
        asio::post(connection->socket.get_executor(),
                   [self = shared_from_this()] { self->m_unpaused->cancel(); });
    }
}

asio::awaitable<void> http_transfer::wait_while_paused(connection_ptr connection)
{
    bool waited = false;
    while (m_paused && !m_cancelled && connection->socket.is_open())
    {
        connection->timer.clear();
        waited = true;
        co_await m_unpaused->async_wait(use_tuple);
    }
    if (waited)
    {
        set_timer(connection);
    }
}

asio::awaitable<void> http_transfer::run(connection_ptr connection)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_connection = connection;
    }
    m_sent_here = false;
    m_write_failed = false;
    m_wake.emplace(connection->socket.get_executor(), asio::steady_timer::time_point::max());
    m_unpaused.emplace(connection->socket.get_executor(), asio::steady_timer::time_point::max());
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
            start_on(std::make_shared<http_connection>(m_executor));
            co_return;
        }
        if (!complete)
        {
            m_reply.timed_out = connection->timer.expired();
            fail(m_reply.timed_out ? http_failure::timeout : http_failure::broken);
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
        m_reply.timed_out = connection->timer.expired();
        fail_to_connect();
        co_return false;
    }
    connection->set_options();
    co_return true;
}

asio::awaitable<bool> http_transfer::exchange(connection_ptr connection)
{
    if (m_request.rest)
    {
        co_return co_await exchange_streamed(connection);
    }
    // A server that rejects a request may respond before reading all of it, so the response is read even if
    // the write failed midway.
    const bool sent = co_await write_request(connection);
    if (!sent && m_send_report.sends == 0)
    {
        co_return false;
    }
    const bool complete = co_await read_matching_response(connection);
    m_keep_alive = m_keep_alive && sent;
    co_return complete;
}

asio::awaitable<bool> http_transfer::read_matching_response(connection_ptr connection)
{
    bool complete = co_await read_response(connection);
    int mismatched = 0;
    int interim = 0;
    while (complete && (m_response_mismatched || is_interim(m_reply.status)))
    {
        auto& count = is_interim(m_reply.status) ? interim : mismatched;
        const auto limit = is_interim(m_reply.status) ? max_interim_responses : max_mismatched_responses;
        m_reply = {};
        complete = ++count <= limit && co_await read_response(connection);
    }
    co_return complete;
}

asio::awaitable<bool> http_transfer::exchange_streamed(connection_ptr connection)
{
    using namespace asio::experimental::awaitable_operators;
    // A server may respond before it has read the request. Nothing more is sent then, and the connection,
    // where the rest of the request is due, serves no other.
    const auto done = co_await (read_matching_response(connection) || write_streamed(connection));
    m_keep_alive = m_keep_alive && m_all_sent;
    co_return done.index() == 0 && std::get<0>(done);
}

asio::awaitable<void> http_transfer::write_streamed(connection_ptr connection)
{
    m_all_sent = co_await write_parts(connection);
    asio::steady_timer never_expiring(connection->socket.get_executor(),
                                      asio::steady_timer::time_point::max());
    co_await never_expiring.async_wait(use_tuple);
}

asio::awaitable<bool> http_transfer::write_parts(connection_ptr connection)
{
    auto message = to_streamed_message(m_request);
    http::request_serializer<http::buffer_body> serializer(message);
    http_body_part part;
    while (!serializer.is_done())
    {
        const auto [ec, n] = co_await http::async_write_some(connection->socket, serializer, use_tuple);
        count_send(*connection, n);
        if (ec && ec != http::error::need_buffer)
        {
            m_write_failed = true;
            co_return false;
        }
        if (ec == http::error::need_buffer)
        {
            // The beginning of the body may be needed for another connection until it has been written.
            m_request.body.clear();
            m_request.body.shrink_to_fit();
            part = co_await next_part();
            if (part.progress != body_progress::more && part.progress != body_progress::complete)
            {
                // The server must not take what it got for the whole request.
                connection->close();
                co_return false;
            }
            message.body().data = part.data.empty() ? nullptr : part.data.data();
            message.body().size = part.data.size();
            message.body().more = part.progress == body_progress::more;
        }
    }
    co_return true;
}

asio::awaitable<http_body_part> http_transfer::next_part()
{
    m_part.reset();
    const auto executor = m_wake->get_executor();
    m_request.rest->read(
        [self = shared_from_this(), executor](http_body_part part)
        {
            asio::post(executor,
                       [self, part = std::move(part)]() mutable
                       {
                           self->m_part = std::move(part);
                           self->m_wake->cancel();
                       });
        });
    while (!m_part && !m_cancelled)
    {
        co_await m_wake->async_wait(use_tuple);
        if ((co_await asio::this_coro::cancellation_state).cancelled() != asio::cancellation_type::none)
        {
            break;
        }
    }
    co_return m_part ? *std::exchange(m_part, std::nullopt)
                     : http_body_part{.data = {}, .progress = body_progress::broken};
}

void http_transfer::count_send(const http_connection& connection, std::size_t written)
{
    if (written > 0 && !m_sent_here)
    {
        m_sent_here = true;
        ++m_send_report.sends;
        m_send_report.kept_connection = connection.reused;
    }
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
    if (m_response_mismatched && !m_keep_alive)
    {
        // No further response can follow on this connection.
        co_return false;
    }
    co_return co_await read_body(connection, parser);
}

asio::awaitable<error_code> http_transfer::read_head_bytes(connection_ptr connection, reply_parser& parser)
{
    auto& buf = connection->buffer;
    folded_line_search folded;
    const auto search = [&folded](asio::const_buffer part) {
        folded.feed({static_cast<const char*>(part.data()), part.size()});
    };
    search(buf.data());
    error_code ec;
    while (!ec && !parser.is_header_done())
    {
        if (buf.size() > 0)
        {
            buf.consume(parser.put(buf.data(), ec));
            ec = ec == http::error::need_more ? error_code{} : ec;
        }
        if (!ec && !parser.is_header_done())
        {
            const auto size = boost::beast::read_size(buf, max_head_read);
            const auto [read_ec, n] =
                co_await connection->socket.async_read_some(buf.prepare(size), use_tuple);
            buf.commit(n);
            search(buf.data() + (buf.size() - n));
            m_response_started = m_response_started || n > 0;
            const auto at_end = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
            ec = read_ec == asio::error::eof ? error_code{at_end} : read_ec;
        }
    }
    if (!ec && folded.found())
    {
        ec = http::error::bad_obs_fold;
    }
    co_return ec;
}

bool http_transfer::accept_head(const reply_parser& parser)
{
    m_reply.body_report.framing = framing_of(parser);
    m_reply.status = static_cast<int>(parser.get().result_int());
    m_reply.headers = to_headers(parser.get());
    if (const auto length = parser.content_length())
    {
        m_reply.stated_length = *length;
    }
    const auto fault = check_response(
        {.version = parser.get().version(), .status = m_reply.status, .headers = m_reply.headers});
    if (fault == response_fault::none)
    {
        return true;
    }
    m_reply = {};
    m_reply.body_report.error = to_string(fault);
    return false;
}

asio::awaitable<bool> http_transfer::read_head(connection_ptr connection, reply_parser& parser)
{
    m_response_started = m_response_started || connection->buffer.size() > 0;
    m_response_mismatched = false;
    if (const auto ec = co_await read_head_bytes(connection, parser))
    {
        m_reply.body_report.error = ec.message();
        co_return false;
    }
    if (!accept_head(parser))
    {
        co_return false;
    }
    if (is_interim(m_reply.status))
    {
        co_return true;
    }
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
    http::request_serializer<http::span_body<const char>> serializer(message);
    error_code ec;
    while (!ec && !serializer.is_done())
    {
        const auto [write_ec, n] = co_await http::async_write_some(connection->socket, serializer, use_tuple);
        count_send(*connection, n);
        ec = write_ec;
    }
    m_write_failed = ec.failed();
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
    m_read_buffer.resize(read_buffer_size);
    while (!ec && !parser.is_done())
    {
        co_await wait_while_paused(connection);
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
    m_read_buffer = {};
    if (!ec && !ended_in_order(*connection, parser))
    {
        ec = asio::error::connection_reset;
    }
    if (ec)
    {
        m_reply.body_report.error = ec.message();
    }
    co_return !ec;
}

bool http_transfer::ended_in_order(http_connection& connection, const reply_parser& parser) const
{
    // The system tells of a reset once: if a write gets the error, the read after it sees an orderly end. The
    // write's result may come later than the read's.
    return !parser.need_eof() || (!m_write_failed && !is_reset(connection.socket));
}

bool http_transfer::is_streaming() const
{
    return m_on_chunk && !m_response_mismatched &&
           (m_request.stream_any_status || m_reply.status / 100 == status_class_success);
}

bool http_transfer::deliver_chunk(std::string_view chunk)
{
    if (chunk.empty())
    {
        return true;
    }
    m_reply.body_report.bytes += chunk.size();
    if (m_response_mismatched)
    {
        m_skipped_bytes += chunk.size();
        return m_skipped_bytes <= max_skipped_bytes;
    }
    if (is_streaming())
    {
        m_on_chunk(chunk);
        return true;
    }
    if (m_reply.body_report.bytes > m_max_body || !hold(chunk.size()))
    {
        return false;
    }
    m_reply.body += chunk;
    return true;
}

bool http_transfer::hold(std::size_t size)
{
    if (m_reply.body.size() + size <= max_unreserved_body)
    {
        m_memory.charge(size);
        return true;
    }
    // The string may have grown to twice its size.
    return m_memory.reserve(2 * size);
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
    free_storage(m_request.body);
    m_request.rest.reset();
    const auto on_reply = std::exchange(m_on_reply, nullptr);
    m_on_chunk = nullptr;
    m_request.on_head = nullptr;
    m_request.is_matching_response = nullptr;
    on_reply(std::move(m_reply));
}

} // namespace masticcourse::detail

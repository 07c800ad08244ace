// The life of a connection: its requests, its limits and its end.
#include "http_session.hpp"

#include "http_answer.hpp"
#include "session_exchange.hpp"
#include "use_tuple.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include <exception>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Maximum number of bytes of pipelined requests that are buffered while a response is in progress.
constexpr std::size_t max_read_ahead = std::size_t{64} * 1024;
/// How long to wait for the caller to close the connection after the last response.
constexpr std::chrono::milliseconds linger_timeout{1'000};

/// Guards against request smuggling. Only the transfer encoding `chunked` on its own is supported here; with
/// any other encoding, a proxy could take as the body what this parser would read as the next request.
/// @return whether another implementation may determine a different end of the body
bool has_ambiguous_length(const http::request<http::string_body>& message)
{
    const auto encoding = message[http::field::transfer_encoding];
    return !encoding.empty() && !boost::beast::iequals(encoding, "chunked");
}

/// Counts a request in `http_server_state::open_exchanges` for the lifetime of this object.
class open_exchange_guard
{
  public:
    explicit open_exchange_guard(std::shared_ptr<http_server_state> server) : m_server(std::move(server))
    {
        ++m_server->open_exchanges;
    }
    open_exchange_guard(const open_exchange_guard&) = delete;
    open_exchange_guard(open_exchange_guard&&) = delete;
    open_exchange_guard& operator=(const open_exchange_guard&) = delete;
    open_exchange_guard& operator=(open_exchange_guard&&) = delete;
    ~open_exchange_guard()
    {
        --m_server->open_exchanges;
    }

  private:
    std::shared_ptr<http_server_state> m_server;
};

} // namespace

http_session::http_session(asio::ip::tcp::socket socket, std::shared_ptr<http_server_state> server)
    : m_socket(std::move(socket)), m_server(std::move(server)), m_deadline(m_socket.get_executor()),
      m_wake(m_socket.get_executor(), asio::steady_timer::time_point::max())
{
}

void http_session::serve()
{
    register_session();
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void http_session::reject_connection()
{
    auto task = [](std::shared_ptr<http_session> self) -> asio::awaitable<void>
    {
        const problem failure{.id = problem_id::overloaded,
                              .detail = "too many connections",
                              .retry_after = std::chrono::seconds{1}};
        if (co_await self->write_response(problem_response(failure)))
        {
            co_await self->linger();
        }
        self->finish();
    };
    register_session();
    asio::co_spawn(m_socket.get_executor(), task(shared_from_this()), asio::detached);
}

void http_session::stop()
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->m_idle)
                   {
                       self->close_after(self->m_server->limits.stop_grace);
                   }
               });
}

void http_session::abort()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
}

asio::awaitable<void> http_session::run()
{
    bool keep_open = true;
    while (keep_open)
    {
        keep_open = co_await serve_request();
    }
    finish();
}

asio::awaitable<bool> http_session::serve_request()
{
    using namespace asio::experimental::awaitable_operators;
    if (!co_await wait_for_request())
    {
        co_return false;
    }
    std::optional<open_exchange_guard> open_exchange(m_server);
    request_parser parser;
    if (const auto ec = co_await read_request(parser))
    {
        co_await reject_request(ec);
        co_return false;
    }
    dispatch(parser);
    const auto done = co_await (send_response() || watch_connection());
    m_response.written = done.index() == 0 && std::get<0>(done);
    open_exchange.reset();
    if (!m_response.written)
    {
        co_return false;
    }
    m_response.on_closed = nullptr;
    if (!m_request.keep_alive)
    {
        co_await linger();
    }
    co_return m_request.keep_alive;
}

asio::awaitable<bool> http_session::wait_for_request()
{
    if (m_buffer.size() > 0)
    {
        co_return true;
    }
    m_idle = true;
    close_after(m_server->stopping ? m_server->limits.stop_grace : m_server->limits.idle_timeout);
    const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(read_size), use_tuple);
    m_deadline.clear();
    m_idle = false;
    m_buffer.commit(n);
    co_return !ec;
}

asio::awaitable<error_code> http_session::read_request(request_parser& parser)
{
    parser.header_limit(static_cast<std::uint32_t>(m_server->limits.max_header));
    parser.body_limit(m_server->limits.max_body);
    // Only the receiving direction is shut down, so that the time-out response can still be sent.
    const auto stop_reading = [weak = weak_from_this()]
    {
        if (const auto self = weak.lock())
        {
            error_code ignored;
            self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
        }
    };
    const auto limits = m_server->limits;
    const bool separate_header_timeout = limits.header_timeout.count() > 0;
    m_deadline.set(separate_header_timeout ? limits.header_timeout : limits.read_timeout, stop_reading);
    auto [ec, n] = co_await http::async_read_header(m_socket, m_buffer, parser, use_tuple);
    if (!ec && has_ambiguous_length(parser.get()))
    {
        ec = http::error::bad_transfer_encoding;
    }
    if (!ec && separate_header_timeout)
    {
        m_deadline.set(limits.read_timeout, stop_reading);
    }
    if (!ec && !parser.is_done() && boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto written = co_await asio::async_write(m_socket, asio::buffer(continue_response), use_tuple);
        ec = std::get<0>(written);
    }
    if (!ec)
    {
        const auto body_read = co_await http::async_read(m_socket, m_buffer, parser, use_tuple);
        ec = std::get<0>(body_read);
    }
    m_deadline.clear();
    co_return ec;
}

asio::awaitable<void> http_session::reject_request(error_code ec)
{
    const auto error_response = error_response_for(ec, m_deadline.expired());
    m_request = {};
    if (error_response && co_await write_response(*error_response))
    {
        co_await linger();
    }
}

void http_session::dispatch(request_parser& parser)
{
    auto& message = parser.get();
    m_request = {.keep_alive = message.keep_alive(),
                 .head_only = message.method() == http::verb::head,
                 .version = message.version()};
    m_response = {.number = m_response.number + 1};
    m_caller_disconnected = false;
    const auto exchange = make_session_exchange(weak_from_this(), m_response.number);
    try
    {
        m_server->handler(to_request(message), exchange);
    }
    catch (const std::exception& error)
    {
        // It is unknown whether the handler took effect before it threw.
        exchange->respond(problem_response(
            {.id = problem_id::outcome_unknown, .ran = ran_state::unknown, .detail = error.what()}, 500));
    }
}

asio::awaitable<void> http_session::watch_connection()
{
    error_code ec;
    while (!ec && m_buffer.size() < max_read_ahead)
    {
        const auto [read_ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(read_size), use_tuple);
        m_buffer.commit(n);
        ec = read_ec;
    }
    if (ec && ec != asio::error::operation_aborted)
    {
        // The caller may have closed only its sending direction and still expect the response, so sending
        // continues.
        m_request.keep_alive = false;
        handle_disconnect();
    }
    // Suspends until the parallel send_response finishes and cancels this coroutine.
    asio::steady_timer never_expiring(m_socket.get_executor(), asio::steady_timer::time_point::max());
    co_await never_expiring.async_wait(use_tuple);
}

asio::awaitable<void> http_session::linger()
{
    // Closing a socket with unread input resets the connection, which may discard the response in transit.
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    close_after(linger_timeout);
    m_buffer.clear();
    error_code ec;
    while (!ec)
    {
        const auto read = co_await m_socket.async_read_some(m_buffer.prepare(read_size), use_tuple);
        ec = std::get<0>(read);
    }
    m_deadline.clear();
}

void http_session::handle_disconnect()
{
    m_caller_disconnected = true;
    if (const auto callback = std::exchange(m_response.on_closed, nullptr))
    {
        callback();
    }
}

void http_session::close_after(std::chrono::milliseconds timeout)
{
    m_deadline.set(timeout,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                       {
                           self->close();
                       }
                   });
}

void http_session::close()
{
    error_code ignored;
    m_socket.close(ignored);
    m_wake.cancel();
}

void http_session::register_session()
{
    const std::scoped_lock lock(m_server->mutex);
    m_server->sessions.emplace(this, weak_from_this());
}

void http_session::finish()
{
    m_finished = true;
    close();
    if (!m_response.written)
    {
        handle_disconnect();
    }
    const std::scoped_lock lock(m_server->mutex);
    m_server->sessions.erase(this);
}

} // namespace masticcourse::detail

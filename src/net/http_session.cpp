// The life of a connection: its requests, its limits and its end.
#include "http_session.hpp"

#include "http_answer.hpp"
#include "use_tuple.hpp"

#include "masticcourse/memory/free_storage.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t discard_size = std::size_t{16} * 1024;
/// Maximum number of bytes of pipelined requests that are buffered while a response is in progress, and how
/// many are read at a time.
constexpr std::size_t max_read_ahead = std::size_t{16} * 1024;
constexpr std::size_t read_ahead_size = std::size_t{4} * 1024;
/// How long to wait for the caller to send more or to close the connection after the last response.
constexpr std::chrono::milliseconds linger_timeout{1'000};
/// What an open connection takes while it is idle, in bytes: its session, its buffer and its coroutine.
constexpr std::size_t connection_memory = std::size_t{6} * 1024;

/// @return the time that @a count of ticks means; nothing for 0
std::optional<std::chrono::steady_clock::time_point>
to_time(const std::atomic<std::chrono::steady_clock::rep>& count)
{
    const std::chrono::steady_clock::duration since{count.load()};
    return since.count() == 0 ? std::nullopt : std::optional{std::chrono::steady_clock::time_point{since}};
}

/// Counts something of a server for the lifetime of this object.
class count_guard
{
  public:
    count_guard(std::shared_ptr<http_server_state> server, std::atomic<std::size_t> http_server_state::*count)
        : m_server(std::move(server)), m_count(count)
    {
        ++((*m_server).*m_count);
    }
    count_guard(const count_guard&) = delete;
    count_guard(count_guard&&) = delete;
    count_guard& operator=(const count_guard&) = delete;
    count_guard& operator=(count_guard&&) = delete;
    ~count_guard()
    {
        --((*m_server).*m_count);
    }

  private:
    std::shared_ptr<http_server_state> m_server;
    std::atomic<std::size_t> http_server_state::*m_count;
};

} // namespace

http_session::http_session(asio::ip::tcp::socket socket, std::shared_ptr<http_server_state> server)
    : m_socket(std::move(socket)), m_server(std::move(server)), m_deadline(m_socket.get_executor()),
      m_wake(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_part_wanted(m_socket.get_executor(), asio::steady_timer::time_point::max()),
      m_connection_memory(m_server->limits.memory, memory_use::connections),
      m_incoming_memory(m_server->limits.memory, memory_use::incoming),
      m_request_memory(m_server->limits.memory, memory_use::requests),
      m_response_memory(m_server->limits.memory, memory_use::responses),
      m_read_ahead_memory(m_server->limits.memory, memory_use::read_ahead)
{
}

bool http_session::reserve_connection()
{
    return m_connection_memory.reserve(connection_memory);
}

void http_session::serve()
{
    if (m_connection_memory.size() == 0)
    {
        // Others give way to it, and will have released as much.
        m_connection_memory.charge(connection_memory);
    }
    register_session();
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void http_session::reject_connection()
{
    auto task = [](std::shared_ptr<http_session> self) -> asio::awaitable<void>
    {
        const count_guard refused(self->m_server, &http_server_state::refused_connections);
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

void http_session::close_if_idle()
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->m_idle)
                   {
                       self->close();
                   }
               });
}

std::optional<std::chrono::steady_clock::time_point> http_session::idle_since() const
{
    return to_time(m_idle_since);
}

std::optional<std::chrono::steady_clock::time_point> http_session::unfinished_since() const
{
    return to_time(m_unfinished_since);
}

void http_session::refuse_unfinished()
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()]
               {
                   if (self->unfinished_since())
                   {
                       self->m_memory_full = true;
                       error_code ignored;
                       self->m_socket.cancel(ignored);
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
    std::optional<count_guard> open_exchange(std::in_place, m_server, &http_server_state::open_exchanges);
    std::optional<request_parser> parser{request_parser_limits{.max_header = m_server->limits.max_header,
                                                               .max_body = m_server->limits.max_body}};
    std::string body;
    m_memory_full = false;
    if (const auto ec = co_await read_request(*parser, body))
    {
        // Its caller may take long to read the refusal.
        parser.reset();
        free_storage(body);
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_incoming_memory.reset();
        m_request_memory.reset();
        co_await reject_request(ec);
        co_return false;
    }
    dispatch(*parser, std::move(body));
    const auto done = co_await (send_response() || watch_connection(*parser));
    m_response.written = done.index() == 0 && std::get<0>(done);
    deliver_part({.data = {}, .progress = body_progress::broken});
    m_request_memory.reset();
    m_response_memory.reset();
    m_read_ahead_memory.reset();
    open_exchange.reset();
    if (!m_response.written)
    {
        co_return false;
    }
    m_response.on_closed = nullptr;
    m_response.on_written = nullptr;
    if (!m_request.keep_alive)
    {
        co_await linger();
    }
    free_buffer();
    co_return m_request.keep_alive;
}

asio::awaitable<bool> http_session::wait_for_request()
{
    if (m_buffer.size() > 0)
    {
        co_return true;
    }
    begin_idle();
    close_after(m_server->stopping ? m_server->limits.stop_grace : m_server->limits.idle_timeout);
    const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(idle_read_size), use_tuple);
    m_deadline.clear();
    end_idle();
    m_buffer.commit(n);
    // A request may have been read in the moment in which the connection was closed for being idle.
    co_return !ec && m_socket.is_open();
}

void http_session::begin_idle()
{
    m_idle = true;
    m_idle_since = std::chrono::steady_clock::now().time_since_epoch().count();
}

void http_session::end_idle()
{
    m_idle = false;
    m_idle_since = 0;
}

void http_session::free_buffer()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > idle_read_size)
    {
        m_buffer.shrink_to_fit();
    }
}

asio::awaitable<void> http_session::watch_connection(request_parser& parser)
{
    auto ec = co_await read_rest(parser);
    ec = ec ? ec : co_await read_ahead();
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

asio::awaitable<error_code> http_session::read_ahead()
{
    error_code ec;
    m_socket.non_blocking(true, ec);
    while (!ec && m_buffer.size() < max_read_ahead)
    {
        ec = std::get<0>(co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, use_tuple));
        // A first read has the memory of the connection; the buffer grows to twice its size at a time.
        // Without room the rest waits in the socket.
        const bool first = m_buffer.size() == 0;
        if (ec || (!first && !m_read_ahead_memory.reserve(2 * read_ahead_size)))
        {
            break;
        }
        const auto input = m_buffer.prepare(first ? idle_read_size : read_ahead_size);
        m_buffer.commit(m_socket.read_some(input, ec));
        ec = ec == asio::error::would_block ? error_code{} : ec;
    }
    co_return ec;
}

asio::awaitable<void> http_session::linger()
{
    // Closing a socket with unread input resets the connection, which may discard the response in transit.
    // A caller that is still sending a long body reads the response only after it.
    error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.non_blocking(true, ignored);
    const auto end = std::chrono::steady_clock::now() + m_server->limits.read_timeout;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    begin_idle();
    error_code ec;
    while (!ec && std::chrono::steady_clock::now() < end)
    {
        close_after(linger_timeout);
        ec = std::get<0>(co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, use_tuple));
        ec = ec ? ec : discard_input();
    }
    m_deadline.clear();
    end_idle();
}

error_code http_session::discard_input()
{
    // Nothing is held for a caller that is only waited for.
    std::array<char, discard_size> buffer;
    error_code ec;
    m_socket.read_some(asio::buffer(buffer), ec);
    return ec == asio::error::would_block ? error_code{} : ec;
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
    m_part_wanted.cancel();
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
    deliver_part({.data = {}, .progress = body_progress::broken});
    if (!m_response.written)
    {
        handle_disconnect();
    }
    const std::scoped_lock lock(m_server->mutex);
    m_server->sessions.erase(this);
}

} // namespace masticcourse::detail

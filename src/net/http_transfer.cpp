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
#include <netinet/tcp.h>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned http_1_1 = 11;
constexpr int success_class = 2;
constexpr std::uint32_t max_reply_header = 64 * 1024;
/// How many answers to other requests are skipped on one connection before it counts as broken.
constexpr int max_foreign_answers = 4;
/// Sent bytes that stay unacknowledged for so long end the connection: the other end or the path is gone.
/// Several retransmissions on links of milliseconds, and well under a caller's usual patience of seconds.
constexpr std::chrono::milliseconds unacknowledged_limit{1'500};

/// The socket option that bounds how long sent bytes may stay unacknowledged, in Asio's form.
class user_timeout
{
  public:
    explicit user_timeout(std::chrono::milliseconds limit) : m_value(static_cast<int>(limit.count())) {}

    template <typename Protocol>
    [[nodiscard]] int level(const Protocol& /*protocol*/) const
    {
        return IPPROTO_TCP;
    }

    template <typename Protocol>
    [[nodiscard]] int name(const Protocol& /*protocol*/) const
    {
        return TCP_USER_TIMEOUT;
    }

    template <typename Protocol>
    [[nodiscard]] const int* data(const Protocol& /*protocol*/) const
    {
        return &m_value;
    }

    template <typename Protocol>
    [[nodiscard]] std::size_t size(const Protocol& /*protocol*/) const
    {
        return sizeof m_value;
    }

  private:
    int m_value;
};

http::request<http::string_body> to_message(http_client_request& request)
{
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, request.address);
    const auto add = [&message](const http_header& it)
    {
        if (boost::beast::iequals(it.name, "host"))
        {
            message.set(http::field::host, it.value);
        }
        else
        {
            // A header that stands twice is sent twice.
            message.insert(it.name, it.value);
        }
    };
    std::ranges::for_each(request.headers, add);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// @param stated the value of a `Keep-Alive` header
/// @return how long the connection may be idle: less than stated, as a request must still reach the server
std::chrono::milliseconds idle_limit_of(std::string_view stated)
{
    // Four fifths of a timeout of whole seconds leave at least 200 ms for the way.
    constexpr int kept_of_second = 800;
    constexpr std::string_view name = "timeout=";
    const auto at = stated.find(name);
    int seconds = 0;
    if (at != std::string_view::npos)
    {
        const auto digits = stated.substr(at + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return std::chrono::milliseconds{kept_of_second} * seconds;
}

} // namespace

http_transfer::http_transfer(asio::io_context& context, std::shared_ptr<connection_pool> pool,
                             http_client_request request, http_chunk_callback on_chunk,
                             http_reply_callback on_reply)
    : m_context(context), m_pool(std::move(pool)), m_request(std::move(request)),
      m_on_chunk(std::move(on_chunk)), m_on_reply(std::move(on_reply)),
      m_deadline(std::chrono::steady_clock::now() + m_request.timeout)
{
}

void http_transfer::start()
{
    auto connection = m_pool->take(m_request.address, m_request.longest_idle);
    begin_on(connection ? connection : std::make_shared<http_connection>(m_context));
}

void http_transfer::begin_on(const connection_ptr& connection)
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
                       // It may have gone back to the pool meanwhile.
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
        const bool whole = co_await exchange(connection);
        connection->timer.clear();
        if (!whole && may_retry(*connection))
        {
            connection->close();
            begin_on(std::make_shared<http_connection>(m_context));
            co_return;
        }
        if (!whole)
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
        fail(http_failure::connect);
        co_return false;
    }
    const auto own_bound = m_request.connect_timeout;
    set_timer(connection, own_bound.count() > 0 ? std::min(own_bound, time_left()) : time_left());
    const auto [ec] = co_await connection->socket.async_connect(*endpoint, use_tuple);
    connection->timer.clear();
    if (ec || !connection->socket.is_open())
    {
        fail(http_failure::connect);
        co_return false;
    }
    error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    connection->socket.set_option(user_timeout(unacknowledged_limit), ignored);
    co_return true;
}

asio::awaitable<bool> http_transfer::exchange(connection_ptr connection)
{
    // A server that refuses a request may answer before it has read it all.
    const bool sent = co_await write_request(connection);
    if (!sent && m_bytes_written == 0)
    {
        co_return false;
    }
    bool whole = co_await read_answer(connection);
    for (int n = 0; whole && m_foreign && n < max_foreign_answers; ++n)
    {
        m_reply = {};
        whole = m_keep_alive && co_await read_answer(connection);
    }
    m_keep_alive = m_keep_alive && sent;
    co_return whole && !m_foreign;
}

asio::awaitable<bool> http_transfer::read_answer(connection_ptr connection)
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
    m_answer_begun = n > 0 || connection->buffer.size() > 0;
    if (ec)
    {
        co_return false;
    }
    m_reply.status = static_cast<int>(parser.get().result_int());
    m_reply.headers = to_headers(parser.get());
    m_keep_alive = parser.get().keep_alive() && !parser.need_eof();
    if (const auto stated = find_header(m_reply.headers, "Keep-Alive"))
    {
        connection->idle_limit = idle_limit_of(*stated);
    }
    m_foreign = m_request.is_own_answer && !m_request.is_own_answer(m_reply);
    if (!m_foreign && m_request.on_head)
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
    while (!ec && !serializer.is_done())
    {
        const auto [write_ec, n] = co_await http::async_write_some(connection->socket, serializer, use_tuple);
        m_bytes_written += n;
        ec = write_ec;
    }
    co_return !ec;
}

asio::awaitable<bool> http_transfer::read_body(connection_ptr connection, reply_parser& parser)
{
    auto& body = parser.get().body();
    error_code ec;
    if (streamed())
    {
        set_timer(connection);
    }
    while (!ec && !parser.is_done())
    {
        body.data = m_piece.data();
        body.size = m_piece.size();
        const auto [read_ec, n] =
            co_await http::async_read_some(connection->socket, connection->buffer, parser, use_tuple);
        ec = read_ec == http::error::need_buffer ? error_code{} : read_ec;
        take_piece({m_piece.data(), m_piece.size() - body.size});
        if (streamed() && n > 0)
        {
            set_timer(connection);
        }
    }
    co_return !ec;
}

bool http_transfer::streamed() const
{
    return m_on_chunk && !m_foreign && m_reply.status / 100 == success_class;
}

void http_transfer::take_piece(std::string_view piece)
{
    if (piece.empty())
    {
        return;
    }
    if (streamed())
    {
        m_on_chunk(piece);
    }
    else
    {
        m_reply.body += piece;
    }
}

bool http_transfer::may_retry(const http_connection& connection) const
{
    const bool harmless_method = m_request.method == "GET" || m_request.method == "HEAD";
    const bool harmless = m_bytes_written == 0 || m_request.idempotent.value_or(harmless_method);
    return connection.reused && !m_answer_begun && harmless && !m_cancelled && !connection.timer.expired();
}

std::chrono::milliseconds http_transfer::time_left() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_deadline - std::chrono::steady_clock::now());
}

void http_transfer::set_timer(const connection_ptr& connection) const
{
    set_timer(connection, streamed() ? m_request.timeout : time_left());
}

void http_transfer::set_timer(const connection_ptr& connection, std::chrono::milliseconds bound) const
{
    connection->timer.set(bound,
                          [weak = std::weak_ptr{connection}]
                          {
                              if (const auto late = weak.lock())
                              {
                                  late->close();
                              }
                          });
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
        m_pool->put(m_request.address, connection);
    }
    else
    {
        connection->close();
    }
    const auto on_reply = std::exchange(m_on_reply, nullptr);
    m_on_chunk = nullptr;
    m_request.on_head = nullptr;
    m_request.is_own_answer = nullptr;
    on_reply(std::move(m_reply));
}

} // namespace masticcourse::detail

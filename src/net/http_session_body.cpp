// How a session reads the body of a request, as a whole or in parts.
#include "http_session.hpp"

#include "use_tuple.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Size of one part of a body, and of the buffer through which a long body is read.
constexpr std::size_t part_size = std::size_t{32} * 1024;
/// The same for a body that is read whole. Its caller may stop at any time, so little is held in advance.
constexpr std::size_t short_part_size = std::size_t{4} * 1024;

/// @return the bytes that @a text takes once it has grown by @a added; strings grow to twice their size
std::size_t capacity_after(const std::string& text, std::size_t added)
{
    const auto size = text.size() + added;
    return size <= text.capacity() ? text.capacity() : std::max(size, 2 * text.capacity());
}

} // namespace

bool http_session::streams_body(const request_parser& parser) const
{
    const auto length = parser.content_length();
    return !parser.is_done() && length && *length > m_server->limits.stream_body_above;
}

asio::awaitable<error_code> http_session::read_short_body(request_parser& parser, std::string& body)
{
    const auto end = std::chrono::steady_clock::now() + m_server->limits.read_timeout;
    const auto limit = m_server->limits.stream_body_above;
    const auto head_size = m_incoming_memory.size() + m_request_memory.size();
    auto ec = parse_body(parser, body, limit);
    while (!ec && !parser.is_done() && body.size() < limit)
    {
        const auto held =
            head_size + m_buffer.size() + short_part_size + capacity_after(body, short_part_size);
        if (!reserve_incoming(held, body.size()))
        {
            m_memory_full = true;
            co_return asio::error::no_memory;
        }
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        stop_reading_after(std::min(left, m_pace.left()));
        ec = co_await read_body_input(short_part_size);
        ec = ec ? ec : parse_body(parser, body, limit);
    }
    co_return ec;
}

bool http_session::reserve_incoming(std::size_t held, std::size_t body_size)
{
    // The first part of a body has the room of requests that have arrived: a caller that sends a small one
    // after its header must not stand behind those that stop in the middle of larger ones.
    auto& lease = body_size < short_part_size ? m_request_memory : m_incoming_memory;
    const auto reserved = m_request_memory.size() + m_incoming_memory.size();
    return lease.reserve(held - std::min(held, reserved));
}

asio::awaitable<error_code> http_session::read_part(request_parser& parser, std::string& part)
{
    auto ec = parse_body(parser, part, part_size);
    while (!ec && !parser.is_done() && part.empty())
    {
        ec = co_await read_body_input(part_size);
        ec = ec ? ec : parse_body(parser, part, part_size);
    }
    m_request.body_read = parser.is_done();
    co_return ec;
}

asio::awaitable<error_code> http_session::read_body_input(std::size_t size)
{
    if (const auto ec = co_await send_continue())
    {
        co_return ec;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(size), use_tuple);
    m_buffer.commit(n);
    m_pace.add(std::chrono::steady_clock::now() - begin, n);
    if (m_memory_full)
    {
        co_return asio::error::no_memory;
    }
    co_return ec == asio::error::eof ? http::error::partial_message : ec;
}

error_code http_session::parse_body(request_parser& parser, std::string& part, std::size_t max_size)
{
    error_code ec;
    if (!parser.is_done())
    {
        m_buffer.consume(parser.parse_body(m_buffer.data(), part, max_size, ec));
    }
    return ec;
}

asio::awaitable<error_code> http_session::send_continue()
{
    if (!std::exchange(m_request.expects_continue, false) || m_response_begun)
    {
        co_return error_code{};
    }
    static constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";
    m_sending_continue = true;
    const auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(interim_response), use_tuple);
    m_sending_continue = false;
    m_wake.cancel();
    co_return ec;
}

asio::awaitable<error_code> http_session::read_rest(request_parser& parser)
{
    error_code ec;
    while (!ec && !parser.is_done())
    {
        if (!m_on_part)
        {
            co_await m_part_wanted.async_wait(use_tuple);
            if (!m_on_part)
            {
                ec = asio::error::operation_aborted;
            }
            continue;
        }
        if (m_pace.left() <= std::chrono::milliseconds{0})
        {
            break;
        }
        stop_reading_after(m_pace.left());
        std::string part;
        ec = co_await read_part(parser, part);
        m_deadline.clear();
        if (!ec)
        {
            deliver_part({.data = std::move(part),
                          .progress = parser.is_done() ? body_progress::complete : body_progress::more});
        }
    }
    if (parser.is_done() || ec == asio::error::operation_aborted)
    {
        co_return ec;
    }
    m_request.keep_alive = false;
    const bool too_slow = !ec || m_deadline.expired();
    deliver_part({.data = {}, .progress = too_slow ? body_progress::stalled : body_progress::broken});
    // The end of the response closes a connection whose caller is too slow.
    co_return too_slow ? asio::error::operation_aborted : ec;
}

void http_session::deliver_part(http_body_part part)
{
    if (const auto on_part = std::exchange(m_on_part, nullptr))
    {
        on_part(std::move(part));
    }
}

void http_session::post_read(std::uint64_t exchange, http_body_callback on_part)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), exchange, on_part = std::move(on_part)]() mutable
               {
                   const bool over = self->m_response.number != exchange || self->m_response.written ||
                                     self->m_finished || self->m_request.body_read;
                   if (over)
                   {
                       on_part({.data = {}, .progress = body_progress::broken});
                       return;
                   }
                   self->m_on_part = std::move(on_part);
                   self->m_part_wanted.cancel();
               });
}

} // namespace masticcourse::detail

// What a session reads before it handles a request: the header, and a short body. And what becomes of a
// request that could not be read.
#include "http_session.hpp"

#include "http_answer.hpp"
#include "http_session_limits.hpp"
#include "session_exchange.hpp"
#include "use_tuple.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// How much of a header is read at a time, in bytes.
constexpr std::size_t header_part_size = std::size_t{4} * 1024;

/// Guards against request smuggling. Only the transfer encoding `chunked` on its own is supported here; with
/// any other encoding, a proxy could take as the body what this parser would read as the next request.
/// @return whether another implementation may determine a different end of the body
bool has_ambiguous_length(const http_request& head)
{
    const auto encoding = head.header("Transfer-Encoding");
    return encoding && !boost::beast::iequals(*encoding, "chunked");
}

} // namespace

void http_session::stop_reading_after(std::chrono::milliseconds timeout)
{
    m_deadline.set(timeout,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                       {
                           error_code ignored;
                           self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
                       }
                   });
}

asio::awaitable<error_code> http_session::read_request(request_parser& parser, std::string& body)
{
    m_request = {};
    m_unfinished_since = std::chrono::steady_clock::now().time_since_epoch().count();
    auto ec = co_await read_head(parser);
    if (!ec && has_ambiguous_length(parser.head()))
    {
        ec = http::error::bad_transfer_encoding;
    }
    if (ec)
    {
        co_return ec;
    }
    m_request.expects_continue =
        !parser.is_done() &&
        boost::beast::iequals(parser.head().header("Expect").value_or(""), "100-continue");
    m_pace = read_pace{m_server->limits.body_progress_timeout, m_server->limits.min_body_progress};
    const auto head_size = m_incoming_memory.size() + m_request_memory.size();
    if (!streams_body(parser))
    {
        ec = co_await read_short_body(parser, body);
    }
    m_unfinished_since = 0;
    m_request.body_read = parser.is_done();
    m_deadline.clear();
    m_incoming_memory.reset();
    m_request_memory.reset();
    if (!ec && !reserve_request(head_size, body.capacity()))
    {
        m_memory_full = true;
        ec = asio::error::no_memory;
    }
    co_return ec;
}

bool http_session::reserve_request(std::size_t head_size, std::size_t body_size)
{
    // The handler makes a copy of the body to send it on; of the header there are the one received, the one
    // kept for further attempts, and the one being sent.
    constexpr std::size_t body_copies = 2;
    constexpr std::size_t head_copies = 3;
    return m_request_memory.reserve(m_server->limits.request_memory + head_copies * head_size +
                                    body_copies * body_size);
}

asio::awaitable<error_code> http_session::read_head(request_parser& parser)
{
    const auto& limits = m_server->limits;
    const bool separate_timeout = limits.header_timeout.count() > 0;
    stop_reading_after(separate_timeout ? limits.header_timeout : limits.read_timeout);
    // The beginning was read with what came before it, or ended the wait for this request.
    auto ec = parse_header_part(parser);
    while (!ec && !parser.is_header_done())
    {
        // Beast's own read returns only once the header is complete; its bytes are to be counted as they
        // come.
        ec = co_await read_header_part(parser);
        ec = ec ? ec : parse_header_part(parser);
    }
    m_deadline.clear();
    co_return ec;
}

asio::awaitable<error_code> http_session::read_header_part(const request_parser& parser)
{
    const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(header_part_size), use_tuple);
    m_buffer.commit(n);
    if (m_memory_full)
    {
        co_return asio::error::no_memory;
    }
    if (ec == asio::error::eof)
    {
        co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    co_return ec;
}

error_code http_session::parse_header_part(request_parser& parser)
{
    error_code ec;
    m_buffer.consume(parser.parse_header(m_buffer.data(), ec));
    if (ec)
    {
        return ec;
    }
    m_memory_full = m_memory_full || !reserve_header(parser);
    return m_memory_full ? error_code{asio::error::no_memory} : error_code{};
}

bool http_session::reserve_header(const request_parser& parser)
{
    // The connection's own memory covers a first read; each field that has been parsed is an element of a
    // vector that grows.
    constexpr std::size_t field_overhead = 2 * sizeof(http_header);
    const auto held =
        parser.header_size() + parser.head().headers.size() * field_overhead + m_buffer.capacity();
    const auto beyond_connection = held - std::min(held, idle_read_size);
    const auto reserved = m_incoming_memory.size() + m_request_memory.size();
    const auto missing = beyond_connection - std::min(beyond_connection, reserved);
    auto& lease = parser.is_header_done() ? m_request_memory : m_incoming_memory;
    if (lease.reserve(missing))
    {
        return true;
    }
    if (!refuse_unfinished_requests(*m_server, std::chrono::milliseconds{0}))
    {
        return false;
    }
    lease.charge(missing);
    return true;
}

asio::awaitable<void> http_session::reject_request(error_code ec)
{
    const auto error_response =
        m_memory_full ? std::optional{memory_full_response()} : error_response_for(ec, m_deadline.expired());
    m_request = {.body_read = false};
    if (error_response && co_await write_response(*error_response))
    {
        co_await linger();
    }
}

http_response http_session::memory_full_response() const
{
    if (m_server->limits.make_memory_full_response)
    {
        return m_server->limits.make_memory_full_response();
    }
    return problem_response({.id = problem_id::overloaded,
                             .detail = "no memory for a further request",
                             .retry_after = std::chrono::seconds{1}});
}

void http_session::dispatch(request_parser& parser, std::string body)
{
    m_request.keep_alive = parser.wants_keep_alive();
    m_request.head_only = parser.head().method == "HEAD";
    m_request.version = parser.version();
    m_response = {.number = m_response.number + 1};
    m_response_begun = false;
    m_caller_disconnected = false;
    auto request = std::move(parser.head());
    request.body = std::move(body);
    if (!m_request.body_read)
    {
        request.rest = make_session_body(weak_from_this(), m_response.number);
        if (const auto length = parser.content_length())
        {
            request.stated_length = *length;
        }
    }
    const auto exchange = make_session_exchange(weak_from_this(), m_response.number);
    try
    {
        m_server->handler(std::move(request), exchange);
    }
    catch (const std::exception& error)
    {
        // It is unknown whether the handler took effect before it threw.
        exchange->respond(problem_response(
            {.id = problem_id::outcome_unknown, .ran = ran_state::unknown, .detail = error.what()}, 500));
    }
}

} // namespace masticcourse::detail

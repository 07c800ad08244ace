// What a session writes: responses as a whole or in parts, as the handler's exchange provides them.
#include "http_session.hpp"

#include "http_answer.hpp"
#include "tcp_options.hpp"
#include "use_tuple.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// How much of a streamed response is written at a time, in bytes.
constexpr std::size_t max_chunk_size = std::size_t{128} * 1024;

} // namespace

asio::awaitable<bool> http_session::send_response()
{
    bool ok = true;
    while (ok)
    {
        if (m_sending_continue)
        {
            co_await wait_for_update();
        }
        else if (auto response = std::exchange(m_response.response, std::nullopt))
        {
            co_return co_await write_response(std::move(*response));
        }
        if (auto head = std::exchange(m_response.head, std::nullopt))
        {
            ok = co_await write_head(std::move(*head));
        }
        else if (!m_response.chunks.empty())
        {
            ok = co_await write_chunks();
        }
        else if (m_response.complete)
        {
            co_return co_await write_end();
        }
        else if (m_response.dropped || !m_socket.is_open())
        {
            co_return false;
        }
        else
        {
            co_await wait_for_update();
        }
    }
    co_return false;
}

asio::awaitable<bool> http_session::write_response(http_response response)
{
    m_response_begun = true;
    m_request.keep_alive = m_request.keep_alive && m_request.body_read && !m_server->closing;
    auto message = to_message(std::move(response), m_request.version, m_request.keep_alive);
    http::response_serializer<http::string_body> serializer(message);
    close_after(m_server->limits.write_timeout);
    error_code ec;
    if (m_request.head_only)
    {
        ec = std::get<0>(co_await http::async_write_header(m_socket, serializer, use_tuple));
    }
    else
    {
        ec = std::get<0>(co_await http::async_write(m_socket, serializer, use_tuple));
    }
    m_deadline.clear();
    co_return !ec;
}

asio::awaitable<bool> http_session::write_head(stream_head head)
{
    m_response_begun = true;
    m_request.chunked = !head.length && m_request.version >= 11;
    m_request.until_close = !head.length && !m_request.chunked;
    // Without chunks and length, the end of the connection is the end of the response. Until it is complete,
    // every close resets the connection, so that the caller does not take a broken-off response for a
    // complete one.
    if (m_request.until_close && !set_reset_on_close(m_socket, true))
    {
        co_return false;
    }
    m_request.keep_alive =
        m_request.keep_alive && m_request.body_read && !m_request.until_close && !m_server->closing;
    auto message =
        head.plain
            ? to_body_head(head.status, head.headers, head.length, m_request.version, m_request.keep_alive)
            : to_stream_head(head.status, head.headers, m_request.version, m_request.keep_alive);
    http::response_serializer<http::empty_body> serializer(message);
    close_after(m_server->limits.write_timeout);
    const auto [ec, n] = co_await http::async_write_header(m_socket, serializer, use_tuple);
    m_deadline.clear();
    co_return !ec;
}

template <typename Buffers>
asio::awaitable<bool> http_session::write_buffers(const Buffers& buffers)
{
    close_after(m_server->limits.write_timeout);
    const auto [ec, n] = co_await asio::async_write(m_socket, buffers, use_tuple);
    m_deadline.clear();
    co_return !ec;
}

asio::awaitable<bool> http_session::write_chunks()
{
    // Several queued parts are written as one chunk, without copying the handler's strings. A slow caller has
    // the write timeout for each such chunk.
    std::vector<std::string> parts;
    std::size_t size = 0;
    while (!m_response.chunks.empty() && size < max_chunk_size)
    {
        size += m_response.chunks.front().size();
        parts.push_back(std::move(m_response.chunks.front()));
        m_response.chunks.pop_front();
    }
    bool written = true;
    if (!m_request.head_only)
    {
        const auto framing = make_chunk_framing(size, m_request.chunked);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(parts.size() + 2);
        buffers.push_back(asio::buffer(framing.prefix));
        std::ranges::transform(parts, std::back_inserter(buffers),
                               [](const std::string& it) { return asio::buffer(it); });
        buffers.push_back(asio::buffer(framing.suffix));
        written = co_await write_buffers(buffers);
    }
    parts.clear();
    m_response.backlog -= size;
    m_response_memory.release(size);
    if (written && m_response.on_written)
    {
        m_response.on_written(size);
    }
    co_return written;
}

asio::awaitable<bool> http_session::write_end()
{
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    if (m_request.until_close)
    {
        co_return set_reset_on_close(m_socket, false);
    }
    if (m_request.head_only || !m_request.chunked)
    {
        co_return true;
    }
    co_return co_await write_buffers(asio::buffer(last_chunk));
}

asio::awaitable<void> http_session::wait_for_update()
{
    co_await m_wake.async_wait(use_tuple);
}

template <typename Update>
void http_session::post_update(std::uint64_t exchange, Update update)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), exchange, update = std::move(update)]() mutable
               {
                   auto& state = self->m_response;
                   if (state.number == exchange && !state.complete && !state.dropped)
                   {
                       update(*self, state);
                       self->m_wake.cancel();
                   }
               });
}

void http_session::post_response(std::uint64_t exchange, http_response response)
{
    post_update(exchange,
                [response = std::move(response)](http_session& self, response_state& state) mutable
                {
                    self.m_response_memory.charge(response.body.size());
                    state.response = std::move(response);
                    state.complete = true;
                });
}

void http_session::post_stream(std::uint64_t exchange, int status, std::vector<http_header> headers)
{
    post_update(exchange, [status, headers = std::move(headers)](http_session&, response_state& state) mutable
                { state.head = stream_head{.status = status, .headers = std::move(headers)}; });
}

void http_session::post_body(std::uint64_t exchange, int status, std::vector<http_header> headers,
                             std::optional<std::uint64_t> length)
{
    post_update(exchange,
                [status, headers = std::move(headers), length](http_session&, response_state& state) mutable
                {
                    state.head = stream_head{
                        .status = status, .headers = std::move(headers), .plain = true, .length = length};
                });
}

void http_session::post_chunk(std::uint64_t exchange, std::string chunk)
{
    if (chunk.empty())
    {
        return;
    }
    post_update(exchange,
                [chunk = std::move(chunk)](http_session& self, response_state& state) mutable
                {
                    state.backlog += chunk.size();
                    self.m_response_memory.charge(chunk.size());
                    state.chunks.push_back(std::move(chunk));
                    if (state.backlog > self.m_server->limits.max_stream_backlog)
                    {
                        self.close();
                    }
                });
}

void http_session::post_end(std::uint64_t exchange)
{
    post_update(exchange, [](http_session&, response_state& state) { state.complete = true; });
}

void http_session::post_dropped(std::uint64_t exchange)
{
    post_update(exchange, [](http_session&, response_state& state) { state.dropped = true; });
}

void http_session::post_on_written(std::uint64_t exchange, std::function<void(std::size_t)> callback)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), exchange, callback = std::move(callback)]() mutable
               {
                   if (self->m_response.number == exchange && !self->m_response.written)
                   {
                       self->m_response.on_written = std::move(callback);
                   }
               });
}

void http_session::post_on_closed(std::uint64_t exchange, std::function<void()> callback)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), exchange, callback = std::move(callback)]() mutable
               {
                   if (self->m_response.number != exchange || self->m_response.written)
                   {
                       return;
                   }
                   self->m_response.on_closed = std::move(callback);
                   if (self->m_caller_disconnected || self->m_finished)
                   {
                       self->handle_disconnect();
                   }
               });
}

} // namespace masticcourse::detail

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

} // namespace

asio::awaitable<bool> http_session::send_response()
{
    bool ok = true;
    while (ok)
    {
        if (auto response = std::exchange(m_response.response, std::nullopt))
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
    m_request.keep_alive = m_request.keep_alive && !m_server->closing;
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

bool http_session::chunked() const
{
    return m_request.version >= 11;
}

asio::awaitable<bool> http_session::write_head(stream_head head)
{
    // Without chunks, the end of the connection is the end of the stream. Until the stream is complete, every
    // close resets the connection, so that the caller does not take a broken-off stream for a complete one.
    if (!chunked() && !set_reset_on_close(m_socket, true))
    {
        co_return false;
    }
    m_request.keep_alive = m_request.keep_alive && chunked() && !m_server->closing;
    auto message = to_stream_head(head.status, head.headers, m_request.version, m_request.keep_alive);
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
    const auto chunks = std::exchange(m_response.chunks, {});
    const auto size = std::exchange(m_response.backlog, 0);
    if (m_request.head_only)
    {
        co_return true;
    }
    // All queued parts are written as one chunk, without copying the handler's strings.
    const auto framing = make_chunk_framing(size, chunked());
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(chunks.size() + 2);
    buffers.push_back(asio::buffer(framing.prefix));
    std::ranges::transform(chunks, std::back_inserter(buffers),
                           [](const std::string& it) { return asio::buffer(it); });
    buffers.push_back(asio::buffer(framing.suffix));
    co_return co_await write_buffers(buffers);
}

asio::awaitable<bool> http_session::write_end()
{
    static constexpr std::string_view last_chunk = "0\r\n\r\n";
    if (!chunked())
    {
        co_return set_reset_on_close(m_socket, false);
    }
    if (m_request.head_only)
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
                [response = std::move(response)](http_session&, response_state& state) mutable
                {
                    state.response = std::move(response);
                    state.complete = true;
                });
}

void http_session::post_stream(std::uint64_t exchange, int status, std::vector<http_header> headers)
{
    post_update(exchange,
                [status, headers = std::move(headers)](http_session&, response_state& state) mutable {
                    state.head = stream_head{status, std::move(headers)};
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

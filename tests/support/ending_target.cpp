#include "support/ending_target.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <exception>
#include <string_view>
#include <utility>

namespace masticcourse::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

target_reaction reaction_to(std::string_view path)
{
    if (path.find("/end/") != std::string_view::npos)
    {
        return target_reaction::end;
    }
    if (path.find("/end-after-event/") != std::string_view::npos)
    {
        return target_reaction::end_after_event;
    }
    return path.find("/drop/") != std::string_view::npos ? target_reaction::drop : target_reaction::answer;
}

std::string chunk(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (auto rest = text.size(); rest > 0; rest /= digits.size())
    {
        size.insert(size.begin(), digits[rest % digits.size()]);
    }
    return size + "\r\n" + std::string{text} + "\r\n";
}

constexpr std::string_view first_event = "id: 1\ndata: one\n\n";

std::string head_for(const std::string& target, const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nMasticcourse-Request-Id: " + request +
           "\r\nMasticcourse-Response-Signature: by-" + target + "\r\n";
}

std::string stream_head_for(const std::string& target, const std::string& request)
{
    return head_for(target, request) +
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first_event);
}

} // namespace

void end_record::add(target_end end)
{
    const std::scoped_lock lock(m_mutex);
    m_ends.push_back(std::move(end));
}

std::vector<target_end> end_record::get() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ends;
}

std::size_t end_record::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ends.size();
}

ending_target::ending_target(asio::io_context& context, std::string id, bool streaming, end_record& ends)
    : m_context(context), m_id(std::move(id)), m_streaming(streaming), m_ends(ends)
{
    listen();
}

std::string ending_target::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::string ending_target::registry_entry(const std::string& service) const
{
    return R"({"service":")" + service + R"(","address":")" + address() +
           R"(","zone":"here","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1})";
}

void ending_target::hold()
{
    m_holding = true;
}

void ending_target::release()
{
    m_holding = false;
}

int ending_target::held() const
{
    return m_held;
}

int ending_target::requests() const
{
    return m_requests;
}

void ending_target::restart_after(std::chrono::milliseconds delay)
{
    m_restart_ms = delay.count();
}

void ending_target::listen()
{
    m_acceptor =
        std::make_unique<tcp::acceptor>(m_context, tcp::endpoint{asio::ip::address_v4::loopback(), m_port});
    m_port = m_acceptor->local_endpoint().port();
    asio::co_spawn(m_context, accept_connections(), asio::detached);
}

asio::awaitable<void> ending_target::accept_connections()
{
    auto* const acceptor = m_acceptor.get();
    try
    {
        while (acceptor->is_open())
        {
            auto accepted = co_await acceptor->async_accept(asio::use_awaitable);
            const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            m_sockets.insert(socket);
            asio::co_spawn(m_context, serve(socket), asio::detached);
        }
    }
    catch (const std::exception&)
    {
        // The target has ended.
    }
}

asio::awaitable<void> ending_target::wait_for_release()
{
    constexpr std::chrono::milliseconds poll_interval{1};
    ++m_held;
    while (m_holding)
    {
        asio::steady_timer timer(m_context, poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --m_held;
}

asio::awaitable<void> ending_target::serve(socket_ptr socket)
{
    try
    {
        boost::beast::flat_buffer buffer;
        while (socket->is_open())
        {
            http::request<http::string_body> request;
            co_await http::async_read(*socket, buffer, request, asio::use_awaitable);
            ++m_requests;
            const std::string id{request["Masticcourse-Request-Id"]};
            const std::string path{request.target()};
            const auto reaction = reaction_to(path);
            if (reaction == target_reaction::end_after_event)
            {
                const auto head = stream_head_for(m_id, id);
                co_await asio::async_write(*socket, asio::buffer(head), asio::use_awaitable);
            }
            if (reaction == target_reaction::end || reaction == target_reaction::end_after_event)
            {
                end(id);
                co_return;
            }
            if (reaction == target_reaction::drop)
            {
                socket->close();
                break;
            }
            co_await wait_for_release();
            const auto answer = answer_to(id);
            co_await asio::async_write(*socket, asio::buffer(answer), asio::use_awaitable);
        }
    }
    catch (const std::exception&)
    {
        // The caller left, or the target has ended.
    }
    m_sockets.erase(socket);
}

std::string ending_target::answer_to(const std::string& request) const
{
    if (m_streaming)
    {
        return stream_head_for(m_id, request) + "0\r\n\r\n";
    }
    const std::string body = "answer to " + request;
    return head_for(m_id, request) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ending_target::end(const std::string& request)
{
    m_ends.add({.target = m_id, .request = request, .at = std::chrono::steady_clock::now()});
    m_acceptor->close();
    for (const auto& it : std::exchange(m_sockets, {}))
    {
        it->close();
    }
    const auto restart_ms = m_restart_ms.load();
    if (restart_ms >= 0)
    {
        const auto timer =
            std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds{restart_ms});
        timer->async_wait([this, timer](const boost::system::error_code& /*ec*/) { listen(); });
    }
}

} // namespace masticcourse::testing

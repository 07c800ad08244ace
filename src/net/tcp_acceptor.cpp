#include "tcp_acceptor.hpp"

#include "endpoint.hpp"
#include "serial_executor.hpp"
#include "use_tuple.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// Delay before accepting again after an error, such as running out of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

tcp_acceptor::tcp_acceptor(const asio::any_io_executor& executor, const std::string& address,
                           socket_callback on_socket)
    : m_executor(executor), m_strand(make_serial_executor(executor)),
      m_acceptor(listen_on(m_strand, address)), m_port(m_acceptor.local_endpoint().port()),
      m_on_socket(std::move(on_socket))
{
}

void tcp_acceptor::start()
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void tcp_acceptor::drain_and_close(std::function<void()> on_done)
{
    asio::post(m_strand,
               [self = shared_from_this(), on_done = std::move(on_done)]
               {
                   self->accept_pending();
                   self->close_now();
                   on_done();
               });
}

void tcp_acceptor::close()
{
    asio::post(m_strand, [self = shared_from_this()] { self->close_now(); });
}

std::uint16_t tcp_acceptor::port() const
{
    return m_port;
}

asio::awaitable<void> tcp_acceptor::run()
{
    while (m_acceptor.is_open())
    {
        auto [ec, socket] = co_await m_acceptor.async_accept(make_serial_executor(m_executor), use_tuple);
        if (!ec)
        {
            handle_socket(std::move(socket));
        }
        else if (ec != asio::error::operation_aborted)
        {
            asio::steady_timer retry_timer(m_strand, accept_retry_delay);
            co_await retry_timer.async_wait(use_tuple);
        }
    }
}

void tcp_acceptor::handle_socket(asio::ip::tcp::socket socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_on_socket(std::move(socket));
}

void tcp_acceptor::accept_pending()
{
    error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_acceptor.is_open())
    {
        asio::ip::tcp::socket socket(make_serial_executor(m_executor));
        m_acceptor.accept(socket, ec);
        if (!ec)
        {
            handle_socket(std::move(socket));
        }
    }
}

void tcp_acceptor::close_now()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace masticcourse::detail

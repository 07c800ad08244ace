#include "masticcourse/net/http_server.hpp"

#include "http_session.hpp"
#include "http_session_limits.hpp"
#include "tcp_acceptor.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include <utility>

namespace masticcourse
{

/// Accepts connections and enforces the connection limit.
class http_server::listener : public std::enable_shared_from_this<listener>
{
  public:
    listener(const boost::asio::any_io_executor& executor, const std::string& address, http_limits limits,
             http_handler handler)
        : m_state(std::make_shared<detail::http_server_state>()),
          m_acceptor(std::make_shared<detail::tcp_acceptor>(executor, address,
                                                            [state = m_state](auto socket)
                                                            { accept_session(state, std::move(socket)); }))
    {
        m_state->limits = std::move(limits);
        m_state->handler = std::move(handler);
    }

    void start()
    {
        m_acceptor->start();
    }

    void stop()
    {
        m_state->closing = true;
        m_state->stopping = true;
        m_acceptor->drain_and_close(
            [state = m_state]
            { detail::for_each_session(*state, [](detail::http_session& it) { it.stop(); }); });
    }

    void set_limits(const http_limits& limits)
    {
        m_state->limits = limits;
    }

    void announce_close()
    {
        m_state->closing = true;
    }

    void abort()
    {
        m_state->stopping = true;
        m_acceptor->close();
        detail::for_each_session(*m_state, [](detail::http_session& it) { it.abort(); });
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor->port();
    }

    [[nodiscard]] std::size_t open_exchanges() const
    {
        return m_state->open_exchanges;
    }

  private:
    using state_ptr = std::shared_ptr<detail::http_server_state>;

    static void accept_session(const state_ptr& state, boost::asio::ip::tcp::socket socket)
    {
        const auto session = std::make_shared<detail::http_session>(std::move(socket), state);
        switch (detail::admit_connection(*state, session->reserve_connection()))
        {
        case detail::connection_verdict::serve:
            session->serve();
            break;
        case detail::connection_verdict::refuse:
            session->reject_connection();
            break;
        case detail::connection_verdict::close:
            // By the end of the session.
            break;
        }
    }

    state_ptr m_state;
    std::shared_ptr<detail::tcp_acceptor> m_acceptor;
};

http_server::http_server(const boost::asio::any_io_executor& executor, const std::string& address,
                         http_limits limits, http_handler handler)
    : m_listener(std::make_shared<listener>(executor, address, std::move(limits), std::move(handler)))
{
    m_listener->start();
}

http_server::http_server(boost::asio::io_context& context, const std::string& address, http_limits limits,
                         http_handler handler)
    : http_server(context.get_executor(), address, std::move(limits), std::move(handler))
{
}

http_server::~http_server()
{
    m_listener->abort();
}

std::uint16_t http_server::port() const
{
    return m_listener->port();
}

void http_server::set_limits(const http_limits& limits)
{
    m_listener->set_limits(limits);
}

void http_server::announce_close()
{
    m_listener->announce_close();
}

void http_server::stop_accepting()
{
    m_listener->stop();
}

std::size_t http_server::open_exchanges() const
{
    return m_listener->open_exchanges();
}

} // namespace masticcourse

#include "http_server_check.hpp"

#include "endpoint.hpp"
#include "use_tuple.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <tuple>
#include <utility>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;

} // namespace

server_check::server_check(asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
                           std::string address, server_check_options options, server_check_callback on_result)
    : m_executor(std::move(executor)), m_pool(std::move(pool)), m_address(std::move(address)),
      m_options(options), m_on_result(std::move(on_result))
{
}

void server_check::start()
{
    const auto connection = std::make_shared<http_connection>(m_executor);
    asio::co_spawn(
        connection->socket.get_executor(),
        [self = shared_from_this(), connection] { return self->run(connection); }, asio::detached);
}

asio::awaitable<void> server_check::run(connection_ptr connection)
{
    ++m_tries;
    const auto state = co_await try_connection(connection);
    if (state == server_state::listening)
    {
        m_pool->add(m_address, connection);
    }
    else
    {
        connection->close();
    }
    if (!state && m_tries < m_options.max_tries)
    {
        start();
        co_return;
    }
    m_on_result(state.value_or(server_state::unknown));
}

asio::awaitable<std::optional<server_state>> server_check::try_connection(connection_ptr connection)
{
    const auto endpoint = parse_endpoint(m_address);
    if (!endpoint)
    {
        co_return server_state::unknown;
    }
    connection->timer.set(m_options.connect_timeout,
                          [weak = std::weak_ptr{connection}]
                          {
                              if (const auto locked = weak.lock())
                              {
                                  locked->close();
                              }
                          });
    const auto [ec] = co_await connection->socket.async_connect(*endpoint, use_tuple);
    connection->timer.clear();
    if (ec == asio::error::connection_refused)
    {
        co_return server_state::ended;
    }
    if (ec || !connection->socket.is_open())
    {
        co_return server_state::unknown;
    }
    connection->set_options();
    if (co_await stays_open(connection))
    {
        co_return server_state::listening;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> server_check::stays_open(connection_ptr connection)
{
    connection->timer.set(m_options.settle_time,
                          [weak = std::weak_ptr{connection}]
                          {
                              if (const auto locked = weak.lock())
                              {
                                  boost::system::error_code ignored;
                                  locked->socket.cancel(ignored);
                              }
                          });
    // A server sends nothing on a connection without a request, so any event is the end of the connection.
    std::ignore = co_await connection->socket.async_wait(asio::ip::tcp::socket::wait_read, use_tuple);
    const bool settled = connection->timer.expired();
    connection->timer.clear();
    co_return settled;
}

} // namespace masticcourse::detail

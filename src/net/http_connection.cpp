#include "http_connection.hpp"

#include "serial_executor.hpp"

#include "tcp_options.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// The connection is closed if sent data stays unacknowledged for this long: the peer or the network path has
/// failed. It allows several retransmissions at round-trip times of milliseconds and is well below the usual
/// request timeouts of callers, which are seconds.
constexpr std::chrono::milliseconds unacknowledged_timeout{1'500};
constexpr std::size_t max_idle_per_address = 64;
/// Used if the server sends no `Keep-Alive` timeout. It is shorter than the usual idle timeout of servers, so
/// that a request is rarely sent on a connection that the server is closing.
constexpr std::chrono::milliseconds default_idle_timeout{15'000};
bool is_expired(const http_connection& connection, std::chrono::steady_clock::time_point now)
{
    return connection.idle_since + connection.idle_timeout < now;
}

} // namespace

http_connection::http_connection(const asio::any_io_executor& executor)
    : socket(make_serial_executor(executor)), timer(socket.get_executor())
{
}

bool http_connection::is_reusable()
{
    std::array<char, 1> byte{};
    error_code ec;
    socket.non_blocking(true, ec);
    if (!ec)
    {
        socket.receive(asio::buffer(byte), asio::socket_base::message_peek, ec);
    }
    return ec == asio::error::would_block && buffer.size() == 0;
}

void http_connection::set_options()
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    limit_unacknowledged_time(socket, unacknowledged_timeout);
}

void http_connection::close()
{
    error_code ignored;
    socket.close(ignored);
}

std::shared_ptr<http_connection> connection_pool::pop(const std::string& address)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
    {
        return nullptr;
    }
    // The most recently used connection is the least likely to have been closed by the server.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (it->second.empty())
    {
        m_idle.erase(it);
    }
    return connection;
}

std::shared_ptr<http_connection> connection_pool::acquire(const std::string& address,
                                                          std::chrono::milliseconds max_idle)
{
    const auto now = std::chrono::steady_clock::now();
    const auto idle_too_long = [now, max_idle](const http_connection& it)
    { return it.idle_since + max_idle < now; };
    auto connection = pop(address);
    if (connection && idle_too_long(*connection))
    {
        // All others have been idle even longer; keep them for requests with a larger `max_idle`.
        return_unused(address, connection);
        return nullptr;
    }
    while (connection && (is_expired(*connection, now) || !connection->is_reusable()))
    {
        connection = pop(address);
    }
    return connection;
}

void connection_pool::return_unused(const std::string& address,
                                    const std::shared_ptr<http_connection>& connection)
{
    const std::scoped_lock lock(m_mutex);
    m_idle[address].push_back(connection);
}

void connection_pool::release(const std::string& address, const std::shared_ptr<http_connection>& connection)
{
    connection->reused = true;
    add(address, connection);
}

void connection_pool::add(const std::string& address, const std::shared_ptr<http_connection>& connection)
{
    const auto now = std::chrono::steady_clock::now();
    connection->idle_since = now;
    if (connection->idle_timeout.count() == 0)
    {
        connection->idle_timeout = default_idle_timeout;
    }
    const std::scoped_lock lock(m_mutex);
    auto& idle = m_idle[address];
    if (idle.size() >= max_idle_per_address)
    {
        idle.erase(idle.begin());
    }
    idle.push_back(connection);
    if (now - m_last_sweep >= m_sweep_interval)
    {
        m_last_sweep = now;
        close_expired(now);
    }
}

void connection_pool::close_expired(steady_time now)
{
    const auto is_unusable = [this, now](const std::shared_ptr<http_connection>& it)
    {
        const bool long_idle = it->idle_since + m_sweep_interval < now;
        return is_expired(*it, now) || (long_idle && !it->is_reusable());
    };
    for (auto& [address, idle] : m_idle)
    {
        std::erase_if(idle, is_unusable);
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::size()
{
    const std::scoped_lock lock(m_mutex);
    const auto add = [](std::size_t sum, const auto& entry) { return sum + entry.second.size(); };
    return std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0}, add);
}

} // namespace masticcourse::detail

#include "http_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <array>

namespace masticcourse::detail
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t max_idle_per_address = 64;
/// Shorter than servers usually keep theirs, so that a request rarely meets a closing connection.
constexpr std::chrono::seconds max_idle_time{15};

} // namespace

http_connection::http_connection(asio::io_context& context)
    : socket(asio::make_strand(context)), timer(socket.get_executor())
{
}

bool http_connection::quiet()
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
    // The one used last is the least likely to have been closed.
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (it->second.empty())
    {
        m_idle.erase(it);
    }
    return connection;
}

std::shared_ptr<http_connection> connection_pool::take(const std::string& address)
{
    const auto oldest = std::chrono::steady_clock::now() - max_idle_time;
    auto connection = pop(address);
    while (connection && (connection->idle_since < oldest || !connection->quiet()))
    {
        connection = pop(address);
    }
    return connection;
}

void connection_pool::put(const std::string& address, const std::shared_ptr<http_connection>& connection)
{
    connection->idle_since = std::chrono::steady_clock::now();
    connection->reused = true;
    const std::scoped_lock lock(m_mutex);
    auto& idle = m_idle[address];
    if (idle.size() >= max_idle_per_address)
    {
        idle.erase(idle.begin());
    }
    idle.push_back(connection);
}

} // namespace masticcourse::detail

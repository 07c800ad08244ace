#include "tcp_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tuple>

namespace masticcourse::detail
{

void limit_unacknowledged_time(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit)
{
    const auto value = static_cast<int>(limit.count());
    std::ignore = ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

bool set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled)
{
    // Not through Asio, whose sockets clear an option set there when they are destroyed.
    const ::linger option{.l_onoff = enabled ? 1 : 0, .l_linger = 0};
    return ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0;
}

bool is_reset(boost::asio::ip::tcp::socket& socket)
{
    // Not through Asio, for which sending nothing is no operation.
    return ::send(socket.native_handle(), "", 0, MSG_DONTWAIT | MSG_NOSIGNAL) < 0;
}

} // namespace masticcourse::detail

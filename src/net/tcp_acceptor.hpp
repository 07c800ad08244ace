/// @file
/// Accepts TCP connections, each on a strand of its own.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticcourse::detail
{

/// Lives until it is closed. Its callback runs on one strand.
class tcp_acceptor : public std::enable_shared_from_this<tcp_acceptor>
{
  public:
    using socket_callback = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @throws std::runtime_error if @a address can't be bound
    tcp_acceptor(boost::asio::io_context& context, const std::string& address, socket_callback on_socket);

    /// Begins to accept.
    void start();

    /// Takes the connections that the system has accepted already (closing would reset them), and closes.
    /// Thread-safe.
    /// @param on_done runs on the acceptor's strand afterwards
    void drain_and_close(std::function<void()> on_done);

    /// Closes at once. Thread-safe.
    void close();

    [[nodiscard]] std::uint16_t port() const;

  private:
    boost::asio::awaitable<void> run();
    void handle_socket(boost::asio::ip::tcp::socket socket);
    void accept_pending();
    void close_now();

    boost::asio::io_context& m_context;
    boost::asio::any_io_executor m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    socket_callback m_on_socket;
};

} // namespace masticcourse::detail

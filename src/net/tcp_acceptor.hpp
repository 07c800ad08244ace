/// @file
/// Accepts TCP connections, each with its own strand.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticcourse::detail
{

/// Stays alive until it is closed. All calls of its callback run on one strand.
class tcp_acceptor : public std::enable_shared_from_this<tcp_acceptor>
{
  public:
    using socket_callback = std::function<void(boost::asio::ip::tcp::socket)>;

    /// @throws std::runtime_error if @a address is malformed or cannot be bound
    tcp_acceptor(const boost::asio::any_io_executor& executor, const std::string& address,
                 socket_callback on_socket);

    void start();

    /// Accepts the connections already in the listen backlog, which closing would reset, then closes.
    /// Thread-safe.
    /// @param on_done called on the acceptor's strand afterwards
    void drain_and_close(std::function<void()> on_done);

    /// Closes immediately; connections still in the listen backlog are reset. Thread-safe.
    void close();

    [[nodiscard]] std::uint16_t port() const;

  private:
    boost::asio::awaitable<void> run();
    void handle_socket(boost::asio::ip::tcp::socket socket);
    void accept_pending();
    void close_now();

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    socket_callback m_on_socket;
};

} // namespace masticcourse::detail

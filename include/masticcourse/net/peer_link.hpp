/// @file
/// Connections between the system's processes: frames over TCP, in order, in both directions. A link knows no
/// heartbeats: the control cores send them as messages.
#pragma once

#include "masticcourse/net/frame.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse
{

struct peer_link_limits
{
    /// The longest payload, sent or received.
    std::size_t max_frame = default_max_frame;
    /// Bytes that may wait to be sent; over it the link closes.
    std::size_t max_queued = 2 * default_max_frame;
};

/// What a link tells its owner, on an I/O thread and one call at a time.
struct peer_link_callbacks
{
    std::function<void(std::string frame)> on_frame;
    /// Called once, last, with the reason.
    std::function<void(std::string reason)> on_closed;
    /// Called once when the connection stands.
    std::function<void()> on_open;
};

/// One connection to another process. It stays alive while it is open, held or not.
class peer_link
{
  public:
    peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    virtual ~peer_link() = default;

    /// Begins to connect; frames sent meanwhile wait.
    /// @param address "ip:port"; a malformed one is reported by `on_closed`
    static std::shared_ptr<peer_link> connect(boost::asio::io_context& context, const std::string& address,
                                              peer_link_callbacks callbacks,
                                              std::chrono::milliseconds connect_timeout,
                                              peer_link_limits limits = {});

    /// Begins to read an accepted link. To be called once, by the listener's callback or later.
    virtual void start(peer_link_callbacks callbacks) = 0;

    /// Queues a frame, from any thread. Frames queued on a closed link are dropped.
    virtual void send(std::string frame) = 0;

    /// Closes the link at once, from any thread; what is still queued is dropped.
    virtual void close() = 0;

    /// @return the other end, "ip:port"
    [[nodiscard]] virtual std::string remote_address() const = 0;
};

/// Takes connections from other processes.
class peer_listener
{
  public:
    using link_callback = std::function<void(std::shared_ptr<peer_link>)>;

    /// @param address "ip:port"; port 0 takes any free one
    /// @param on_link must call `start` on each link
    /// @throws std::runtime_error if the address can't be bound
    peer_listener(boost::asio::io_context& context, const std::string& address, link_callback on_link,
                  peer_link_limits limits = {});
    peer_listener(const peer_listener&) = delete;
    peer_listener(peer_listener&&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;
    peer_listener& operator=(peer_listener&&) = delete;
    /// Takes no more connections; links stay open.
    ~peer_listener();

    [[nodiscard]] std::uint16_t port() const;

  private:
    class acceptor;
    std::shared_ptr<acceptor> m_acceptor;
};

} // namespace masticcourse

/// @file
/// Inter-process connections: ordered, bidirectional, framed messages over TCP. Links send no heartbeats of
/// their own; the control cores send them as ordinary messages.
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
    /// Maximum payload size in bytes, sent or received.
    std::size_t max_frame = default_max_frame;
    /// Maximum number of bytes waiting to be sent; the link is closed if they exceed it.
    std::size_t max_queued = 2 * default_max_frame;
};

/// Callbacks of a link. They run on an I/O thread and never concurrently.
struct peer_link_callbacks
{
    std::function<void(std::string frame)> on_frame;
    /// Called once with the reason, as the last callback.
    std::function<void(std::string reason)> on_closed;
    /// Called once when the connection is established.
    std::function<void()> on_open;
};

/// Handle of one connection to another process. A connection started or opened by `connect` stays open even
/// if its handle is destroyed.
class peer_link
{
  public:
    peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    virtual ~peer_link() = default;

    /// Connects asynchronously; frames sent in the meantime are queued.
    /// @param address "ip:port"; a malformed address is reported by `on_closed`
    static std::shared_ptr<peer_link> connect(boost::asio::io_context& context, const std::string& address,
                                              peer_link_callbacks callbacks,
                                              std::chrono::milliseconds connect_timeout,
                                              peer_link_limits limits = {});

    /// Starts reading from an accepted link. Must be called once, in the listener's callback or later.
    virtual void start(peer_link_callbacks callbacks) = 0;

    /// Queues a frame. Thread-safe. Frames sent on a closed link are dropped.
    virtual void send(std::string frame) = 0;

    /// Closes the link immediately and drops queued frames. Thread-safe.
    virtual void close() = 0;

    /// @return the peer's address as "ip:port"
    [[nodiscard]] virtual std::string remote_address() const = 0;
};

/// Accepts connections from other processes.
class peer_listener
{
  public:
    using link_callback = std::function<void(std::shared_ptr<peer_link>)>;

    /// @param address "ip:port"; port 0 selects any free port
    /// @param on_link receives each accepted link; a link that is destroyed before `start` is closed
    /// @throws std::runtime_error if the address is malformed or cannot be bound
    peer_listener(boost::asio::io_context& context, const std::string& address, link_callback on_link,
                  peer_link_limits limits = {});
    peer_listener(const peer_listener&) = delete;
    peer_listener(peer_listener&&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;
    peer_listener& operator=(peer_listener&&) = delete;
    /// Stops accepting connections; existing links stay open.
    ~peer_listener();

    [[nodiscard]] std::uint16_t port() const;

  private:
    class acceptor;
    std::shared_ptr<acceptor> m_acceptor;
};

} // namespace masticcourse

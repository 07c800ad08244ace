#include "masticcourse/net/peer_link.hpp"

#include "deadline.hpp"
#include "endpoint.hpp"
#include "tcp_acceptor.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <iterator>
#include <utility>
#include <vector>

namespace masticcourse
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t read_size = std::size_t{64} * 1024;

/// The connection behind a link, kept alive by its pending operations until it closes. Public members are
/// thread-safe; private ones run on the socket's strand.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
  public:
    peer_connection(asio::ip::tcp::socket socket, std::string remote, peer_link_limits limits)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_start_timer(m_socket.get_executor(), asio::steady_timer::time_point::max()),
          m_remote(std::move(remote)), m_limits(limits), m_decoder(limits.max_frame)
    {
    }

    void begin_connect(peer_link_callbacks callbacks, std::chrono::milliseconds timeout)
    {
        post([callbacks = std::move(callbacks), timeout](peer_connection& self) mutable
             { self.do_connect(std::move(callbacks), timeout); });
    }

    void start(peer_link_callbacks callbacks)
    {
        post([callbacks = std::move(callbacks)](peer_connection& self) mutable
             { self.do_start(std::move(callbacks)); });
    }

    void send(std::string frame)
    {
        if (frame.size() > m_limits.max_frame)
        {
            post([](peer_connection& self) { self.fail("frame to send is over the limit"); });
            return;
        }
        const auto size = frame.size() + frame_header_size;
        if (m_queued.fetch_add(size) + size > m_limits.max_queued)
        {
            post([](peer_connection& self) { self.fail("outgoing queue is over its limit"); });
            return;
        }
        post([frame = std::move(frame)](peer_connection& self) mutable { self.enqueue(std::move(frame)); });
    }

    /// Keeps an accepted connection alive until it is started or closed.
    void hold_until_started()
    {
        m_start_timer.async_wait([self = shared_from_this()](error_code) {});
    }

    void close()
    {
        post([](peer_connection& self) { self.fail("closed by this end"); });
    }

    [[nodiscard]] const std::string& remote_address() const
    {
        return m_remote;
    }

  private:
    template <typename Action>
    void post(Action action)
    {
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this(), action = std::move(action)]() mutable { action(*self); });
    }

    void do_connect(peer_link_callbacks callbacks, std::chrono::milliseconds timeout)
    {
        m_callbacks = std::move(callbacks);
        const auto endpoint = detail::parse_endpoint(m_remote);
        if (!endpoint)
        {
            fail("not an address of the form ip:port: \"" + m_remote + "\"");
            return;
        }
        m_timer.set(timeout,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                        {
                            self->fail("connect timed out");
                        }
                    });
        m_socket.async_connect(*endpoint,
                               [self = shared_from_this()](error_code ec) { self->on_connected(ec); });
    }

    void on_connected(error_code ec)
    {
        if (m_closed)
        {
            return;
        }
        m_timer.clear();
        if (ec)
        {
            fail("connect: " + ec.message());
            return;
        }
        error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        open();
    }

    void do_start(peer_link_callbacks callbacks)
    {
        if (m_open)
        {
            return;
        }
        m_callbacks = std::move(callbacks);
        if (m_closed)
        {
            notify_closed();
            return;
        }
        open();
    }

    void open()
    {
        m_open = true;
        m_start_timer.cancel();
        if (m_callbacks.on_open)
        {
            m_callbacks.on_open();
        }
        read();
        write();
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_read_buffer),
                                 [self = shared_from_this()](error_code ec, std::size_t n)
                                 { self->on_read(ec, n); });
    }

    void on_read(error_code ec, std::size_t n)
    {
        if (m_closed)
        {
            return;
        }
        if (ec)
        {
            const bool truncated = ec == asio::error::eof && m_decoder.has_partial_frame();
            fail(truncated ? "closed by the other end in the middle of a frame" : ec.message());
            return;
        }
        if (!m_decoder.feed({m_read_buffer.data(), n}, m_callbacks.on_frame))
        {
            fail("frame received is over the limit");
            return;
        }
        read();
    }

    void enqueue(std::string frame)
    {
        if (m_closed)
        {
            return;
        }
        m_queue.push_back(std::move(frame));
        write();
    }

    /// Sends all queued frames with one gathered write, without copying them.
    void write()
    {
        if (!m_open || m_closed || !m_sending.empty() || m_queue.empty())
        {
            return;
        }
        m_sending = std::exchange(m_queue, {});
        m_headers.clear();
        std::ranges::transform(m_sending, std::back_inserter(m_headers),
                               [](const std::string& it) { return make_frame_header(it.size()); });
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(2 * m_sending.size());
        for (std::size_t it = 0; it < m_sending.size(); ++it)
        {
            buffers.emplace_back(asio::buffer(m_headers[it]));
            buffers.emplace_back(asio::buffer(m_sending[it]));
        }
        asio::async_write(m_socket, buffers,
                          [self = shared_from_this()](error_code ec, std::size_t n)
                          { self->on_written(ec, n); });
    }

    void on_written(error_code ec, std::size_t n)
    {
        m_sending.clear();
        m_queued -= n;
        if (m_closed)
        {
            return;
        }
        if (ec)
        {
            fail(ec.message());
            return;
        }
        write();
    }

    void fail(std::string reason)
    {
        if (std::exchange(m_closed, true))
        {
            return;
        }
        m_reason = std::move(reason);
        m_timer.clear();
        m_start_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
        m_queue.clear();
        notify_closed();
    }

    /// Also releases the callbacks and everything they own.
    void notify_closed()
    {
        const auto callbacks = std::exchange(m_callbacks, {});
        if (callbacks.on_closed)
        {
            callbacks.on_closed(m_reason);
        }
    }

    asio::ip::tcp::socket m_socket;
    detail::deadline m_timer;
    /// Never expires. Its pending wait keeps an accepted connection alive; it is cancelled when the
    /// connection is started or closed.
    asio::steady_timer m_start_timer;
    std::string m_remote;
    peer_link_limits m_limits;
    peer_link_callbacks m_callbacks;
    frame_decoder m_decoder;
    std::array<char, read_size> m_read_buffer{};
    std::vector<std::string> m_queue;
    std::vector<std::string> m_sending;
    std::vector<frame_header> m_headers;
    std::atomic<std::size_t> m_queued = 0;
    std::string m_reason;
    bool m_open = false;
    bool m_closed = false;
};

/// The owner's handle. It references the connection weakly: the connection is owned by its pending operations
/// in the I/O context and is destroyed with them.
class tcp_peer_link final : public peer_link
{
  public:
    /// @param started false for an accepted connection, which is closed if this handle is destroyed before
    /// `start`
    tcp_peer_link(const std::shared_ptr<peer_connection>& connection, bool started)
        : m_connection(connection), m_remote(connection->remote_address()), m_started(started)
    {
    }
    tcp_peer_link(const tcp_peer_link&) = delete;
    tcp_peer_link(tcp_peer_link&&) = delete;
    tcp_peer_link& operator=(const tcp_peer_link&) = delete;
    tcp_peer_link& operator=(tcp_peer_link&&) = delete;
    ~tcp_peer_link() override
    {
        if (!m_started)
        {
            forward([](peer_connection& it) { it.close(); });
        }
    }

    void start(peer_link_callbacks callbacks) override
    {
        m_started = true;
        forward([&](peer_connection& it) { it.start(std::move(callbacks)); });
    }

    void send(std::string frame) override
    {
        forward([&](peer_connection& it) { it.send(std::move(frame)); });
    }

    void close() override
    {
        forward([](peer_connection& it) { it.close(); });
    }

    [[nodiscard]] std::string remote_address() const override
    {
        return m_remote;
    }

  private:
    template <typename Action>
    void forward(Action action)
    {
        if (const auto connection = m_connection.lock())
        {
            action(*connection);
        }
    }

    std::weak_ptr<peer_connection> m_connection;
    std::string m_remote;
    std::atomic<bool> m_started;
};

std::string remote_address_of(const asio::ip::tcp::socket& socket)
{
    error_code ec;
    const auto endpoint = socket.remote_endpoint(ec);
    return ec ? std::string{} : detail::to_string(endpoint);
}

} // namespace

std::shared_ptr<peer_link> peer_link::connect(asio::io_context& context, const std::string& address,
                                              peer_link_callbacks callbacks,
                                              std::chrono::milliseconds connect_timeout,
                                              peer_link_limits limits)
{
    const auto connection =
        std::make_shared<peer_connection>(asio::ip::tcp::socket(asio::make_strand(context)), address, limits);
    connection->begin_connect(std::move(callbacks), connect_timeout);
    return std::make_shared<tcp_peer_link>(connection, true);
}

/// Creates a link for each accepted connection.
class peer_listener::acceptor : public detail::tcp_acceptor
{
  public:
    acceptor(asio::io_context& context, const std::string& address, link_callback on_link,
             peer_link_limits limits)
        : tcp_acceptor(context.get_executor(), address,
                       [on_link = std::move(on_link), limits](asio::ip::tcp::socket socket)
                       {
                           auto remote = remote_address_of(socket);
                           const auto connection = std::make_shared<peer_connection>(
                               std::move(socket), std::move(remote), limits);
                           connection->hold_until_started();
                           on_link(std::make_shared<tcp_peer_link>(connection, false));
                       })
    {
    }
};

peer_listener::peer_listener(asio::io_context& context, const std::string& address, link_callback on_link,
                             peer_link_limits limits)
    : m_acceptor(std::make_shared<acceptor>(context, address, std::move(on_link), limits))
{
    m_acceptor->start();
}

peer_listener::~peer_listener()
{
    m_acceptor->close();
}

std::uint16_t peer_listener::port() const
{
    return m_acceptor->port();
}

} // namespace masticcourse

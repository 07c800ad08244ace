/// @file
/// Shared fixtures for network tests: I/O threads, waiting for conditions, raw loopback sockets.
#pragma once

#include "masticcourse/net/http_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// Safety limit for waits. Tests wait for conditions rather than fixed times, so a passing test should never
/// reach it, even on a slow machine.
constexpr std::chrono::seconds test_timeout{60};

/// An I/O context run by a pool of threads.
class io_threads
{
  public:
    explicit io_threads(int count = 3) : m_guard(m_context.get_executor())
    {
        for (int it = 0; it < count; ++it)
        {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }
    io_threads(const io_threads&) = delete;
    io_threads(io_threads&&) = delete;
    io_threads& operator=(const io_threads&) = delete;
    io_threads& operator=(io_threads&&) = delete;
    ~io_threads()
    {
        stop();
    }

    /// Stops and joins the threads, so that objects used by their callbacks can be destroyed.
    void stop()
    {
        m_context.stop();
        m_threads.clear();
    }

    [[nodiscard]] boost::asio::io_context& context()
    {
        return m_context;
    }

  private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::vector<std::jthread> m_threads;
};

/// A mutex-protected value that callbacks update and tests wait on.
template <typename T>
class synchronized_value
{
  public:
    template <typename Update>
    void update(Update update)
    {
        const std::scoped_lock lock(m_mutex);
        update(m_value);
        m_changed.notify_all();
    }

    /// @return whether @a condition became true for the value within `test_timeout`
    template <typename Condition>
    [[nodiscard]] bool wait(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, test_timeout, [&] { return condition(m_value); });
    }

    [[nodiscard]] T get()
    {
        const std::scoped_lock lock(m_mutex);
        return m_value;
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    T m_value{};
};

/// Polls @a condition until it holds or `test_timeout` has passed.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + test_timeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    return condition();
}

/// A blocking client socket, for sending malformed or partial requests.
class raw_socket
{
  public:
    explicit raw_socket(std::uint16_t port) : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// @return everything received until the peer closes the connection
    [[nodiscard]] std::string read_all()
    {
        std::string text;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(text), m_end);
        return text;
    }

    /// @return whether the peer closed the connection in order, rather than resetting it, after read_all()
    [[nodiscard]] bool closed_in_order() const
    {
        return m_end == boost::asio::error::eof;
    }

    /// @return everything received up to and including @a delimiter
    [[nodiscard]] std::string read_until_text(const std::string& delimiter)
    {
        std::string text;
        boost::system::error_code ec;
        while (!ec && text.find(delimiter) == std::string::npos)
        {
            boost::asio::read(m_socket, boost::asio::dynamic_buffer(text), boost::asio::transfer_exactly(1),
                              ec);
        }
        return text;
    }

    void close()
    {
        m_socket.close();
    }

  private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::system::error_code m_end;
};

[[nodiscard]] inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// @return an address whose port was free on a bind check and is not handed out twice by this process. Ports
/// lie below the ephemeral range: an outgoing connection once took an ephemeral port before the gateway could
/// listen on it.
[[nodiscard]] inline std::string free_address(boost::asio::io_context& context)
{
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t end = 32'000;
    static std::uint16_t next = []
    {
        std::random_device random;
        return std::uniform_int_distribution<std::uint16_t>{first, end - 1}(random);
    }();
    while (true)
    {
        const boost::asio::ip::tcp::endpoint chosen{boost::asio::ip::address_v4::loopback(), next};
        next = next + 1 < end ? static_cast<std::uint16_t>(next + 1) : first;
        boost::asio::ip::tcp::acceptor acceptor{context, chosen.protocol()};
        boost::system::error_code ec;
        acceptor.bind(chosen, ec);
        if (!ec)
        {
            return loopback(chosen.port());
        }
    }
}

/// Sends a request and blocks until its reply arrives.
[[nodiscard]] inline http_client_reply fetch(http_client& client, http_client_request request)
{
    const auto done = std::make_shared<std::promise<http_client_reply>>();
    auto answer = done->get_future();
    client.send(std::move(request), [done](http_client_reply reply) { done->set_value(std::move(reply)); });
    return answer.get();
}

} // namespace masticcourse::testing

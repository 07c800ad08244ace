/// @file
/// A target on loopback whose process ends as soon as it has read one of the requests that it can't bear.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// What a target does with a request.
enum class target_reaction : std::uint8_t
{
    answer,
    /// Its listener and all its connections close before a byte is answered.
    end,
    /// Sends the first event of a stream, then ends.
    end_after_event,
    /// Closes the connection of the request without an answer, and lives on.
    drop,
};

/// When a target ended.
struct target_end
{
    std::string target;
    std::string request;
    std::chrono::steady_clock::time_point at;
};

/// The ends of all targets of a test, in order.
class end_record
{
  public:
    void add(target_end end);
    [[nodiscard]] std::vector<target_end> get() const;
    [[nodiscard]] std::size_t size() const;

  private:
    mutable std::mutex m_mutex;
    std::vector<target_end> m_ends;
};

/// The context's threads must be stopped before the target is destroyed. The path of a request names the
/// reaction: "/…/end/…", "/…/end-after-event/…", "/…/drop/…"; all others are answered.
class ending_target
{
  public:
    ending_target(boost::asio::io_context& context, std::string id, bool streaming, end_record& ends);

    /// @return the entry of this target in the target registry
    [[nodiscard]] std::string registry_entry(const std::string& service) const;
    [[nodiscard]] const std::string& id() const
    {
        return m_id;
    }
    [[nodiscard]] std::string address() const;

    /// Answers are held back until release(). Thread-safe.
    void hold();
    void release();
    /// @return how many answers are held back
    [[nodiscard]] int held() const;
    /// How many requests it has read.
    [[nodiscard]] int requests() const;

    /// The target starts again this long after each end, at the same address; it stays down by default.
    void restart_after(std::chrono::milliseconds delay);

  private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void listen();
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(socket_ptr socket);
    boost::asio::awaitable<void> wait_for_release();
    void end(const std::string& request);
    [[nodiscard]] std::string answer_to(const std::string& request) const;

    boost::asio::io_context& m_context;
    std::string m_id;
    bool m_streaming;
    end_record& m_ends;
    std::uint16_t m_port = 0;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<socket_ptr> m_sockets;
    std::atomic<bool> m_holding = false;
    std::atomic<int> m_held = 0;
    std::atomic<int> m_requests = 0;
    std::atomic<std::chrono::milliseconds::rep> m_restart_ms = -1;
};

} // namespace masticcourse::testing

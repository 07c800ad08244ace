/// @file
/// The threads that move bytes: they run the I/O of a process and touch no control state.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace masticcourse
{

/// An I/O context with its threads.
class traffic
{
  public:
    traffic();
    traffic(const traffic&) = delete;
    traffic(traffic&&) = delete;
    traffic& operator=(const traffic&) = delete;
    traffic& operator=(traffic&&) = delete;
    ~traffic();

    [[nodiscard]] boost::asio::io_context& context();

    void start(std::uint32_t threads);
    void stop();

    /// Calls back on the first SIGTERM or SIGINT.
    void on_stop_signal(std::function<void()> callback);

    /// Calls back each @a period until `stop`.
    void every(std::chrono::milliseconds period, std::function<void()> callback);

  private:
    struct periodic;
    static void arm(const std::shared_ptr<periodic>& task);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::signal_set m_signals;
    std::vector<std::jthread> m_threads;
};

} // namespace masticcourse

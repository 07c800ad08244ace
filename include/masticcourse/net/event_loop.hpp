/// @file
/// The event loop of a process that serves traffic and coordinates with others on one thread.
///
/// Load pattern: callers send more than the process can handle. In one queue, the few messages by which it
/// knows what is in force, and by which others rely on it, would wait behind hundreds of requests, for
/// seconds on a VM with a tenth of a core. So handlers have two priorities: those of the traffic executor run
/// in the order in which they became ready, for a short time slice. Between two slices all handlers of the
/// context (control) run that are ready, including those that become ready meanwhile, so a reply of several
/// parts is read as a whole.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio
{
class any_io_executor;
class io_context;
} // namespace boost::asio

namespace masticcourse
{

/// Runs on one thread. What uses its executors must be destroyed before it.
class event_loop
{
  public:
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop();

    /// @return the context of control handlers
    [[nodiscard]] boost::asio::io_context& context();

    /// @return the executor of traffic handlers
    [[nodiscard]] boost::asio::any_io_executor traffic_executor();

    /// Sets a callback for the moments at which no control handler is ready: all that had arrived for one has
    /// been handled. Must be called before run().
    void on_control_drained(std::function<void()> callback);

    /// @return how long the traffic handler that runs now, or ran last, had been ready before; 0 while none
    /// waits
    [[nodiscard]] std::chrono::steady_clock::duration traffic_delay() const;

    /// Runs handlers until stop() is called.
    void run();

    /// Lets run() return. Thread-safe.
    void stop();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse

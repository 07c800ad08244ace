/// @file
/// A restartable one-shot timer for use on a strand.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace masticcourse::detail
{

/// All members must be called on its executor.
class deadline
{
  public:
    explicit deadline(const boost::asio::any_io_executor& executor);

    /// Replaces any previously set deadline. If this process is late to look at the timer, because it was
    /// short of processor time, the deadline is extended by that time, so that what has arrived meanwhile is
    /// still read.
    /// @param on_expired must not own the object that holds this deadline; it is called only while the
    /// deadline exists
    void set(std::chrono::milliseconds timeout, std::function<void()> on_expired);

    void clear();

    /// @return whether the most recently set deadline has expired
    [[nodiscard]] bool expired() const;

  private:
    /// Referenced weakly by the timer's handler, so that a handler already queued when the deadline is
    /// replaced, cleared or destroyed detects this and does nothing.
    struct shared_state
    {
        std::uint64_t generation = 0;
        bool expired = false;
    };

    void wait(std::chrono::milliseconds timeout, std::function<void()> on_expired);

    boost::asio::steady_timer m_timer;
    int m_extensions = 0;
    std::shared_ptr<shared_state> m_state;
};

} // namespace masticcourse::detail

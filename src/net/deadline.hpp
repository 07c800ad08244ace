/// @file
/// A deadline on a strand: calls back once unless it is cleared or set anew before.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace masticcourse::detail
{

/// To be used on its executor only.
class deadline
{
  public:
    explicit deadline(const boost::asio::any_io_executor& executor);

    /// Replaces what was set before.
    /// @param on_expired must not own the deadline's owner; it may be called only while the deadline exists
    void set(std::chrono::milliseconds timeout, std::function<void()> on_expired);

    void clear();

    /// @return whether the deadline set last has passed
    [[nodiscard]] bool expired() const;

  private:
    /// Outlives the deadline, so that a late timer can see that it is not meant any more.
    struct shared_state
    {
        std::uint64_t generation = 0;
        bool expired = false;
    };

    boost::asio::steady_timer m_timer;
    std::shared_ptr<shared_state> m_state;
};

} // namespace masticcourse::detail

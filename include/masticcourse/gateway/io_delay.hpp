/// @file
/// Timers on a Boost.Asio I/O context.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::gateway
{

/// @return a function that runs a callback on @a context after a delay. A pending callback can't be
/// cancelled: everything it refers to must live as long as the context runs.
[[nodiscard]] delay_function make_io_delay(boost::asio::io_context& context);

/// Owns a timer; without it, the timer is cancelled and takes no more memory.
using timer_handle = std::shared_ptr<void>;

/// Runs a callback after a delay unless the handle is destroyed first.
using timer_function = std::function<timer_handle(milliseconds, std::function<void()>)>;

[[nodiscard]] timer_function make_io_timer(boost::asio::io_context& context);

} // namespace masticcourse::gateway

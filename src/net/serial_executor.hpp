/// @file
/// Executors for objects whose handlers must not run at the same time.
#pragma once

#include <boost/asio/any_io_executor.hpp>

namespace masticcourse::detail
{

/// @return an executor on which handlers run one after the other: a strand, unless @a executor is one already
[[nodiscard]] boost::asio::any_io_executor make_serial_executor(const boost::asio::any_io_executor& executor);

} // namespace masticcourse::detail

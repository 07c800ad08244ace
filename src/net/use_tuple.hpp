/// @file
/// The completion token used by the coroutines of the network layer.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticcourse::detail
{

/// Returns the error code as the first element of a tuple instead of throwing, because I/O errors are part of
/// normal operation.
constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace masticcourse::detail

/// @file
/// The completion token of the network layer's coroutines.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticcourse::detail
{

/// Errors come as the first member of a tuple: they are ordinary here, not exceptional.
constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace masticcourse::detail

/// @file
/// What the stand-ins' mains share: the command line, the I/O threads and stopping on a signal.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

/// Reads the command line; `--help` and `--listen` are added to @a options.
/// @return nothing if the program is to end: after `--help`, or after saying what is wrong
[[nodiscard]] std::optional<boost::program_options::variables_map>
read_options(int argc, const char* const* argv, boost::program_options::options_description options);

/// Serves @a handler where `--listen` says until SIGINT or SIGTERM.
/// @return the exit code
[[nodiscard]] int serve(boost::asio::io_context& context,
                        const boost::program_options::variables_map& options, const http_handler& handler);

} // namespace masticcourse::standins

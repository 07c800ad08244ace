/// @file
/// Entry point of the operator command line, callable in-process by tests.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace masticcourse
{

/// Exit status of the command line.
enum class exit_code : int
{
    ok = 0,
    /// A process replied with an error.
    remote_failure = 1,
    /// Invalid arguments or invalid settings.
    usage = 2,
    /// No reply from a process.
    unreachable = 3,
};

/// Output streams of a command.
struct console
{
    std::ostream& out;
    std::ostream& err;
    /// Whether to print progress to @a err; set if it is a terminal.
    bool shows_progress = false;
};

/// Runs the command named by the first argument.
/// @param args command-line arguments without the program name
exit_code run_command_line(const std::vector<std::string>& args, console& output);

} // namespace masticcourse

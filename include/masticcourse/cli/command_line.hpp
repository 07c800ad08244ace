/// @file
/// The operators' command line as a function, so that tests call it without a process.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace masticcourse
{

/// What the command line returns to its shell.
enum class exit_code : int
{
    ok = 0,
    /// A process answered, with a refusal or a failure.
    remote_failure = 1,
    /// Wrong usage, or settings with faults.
    usage = 2,
    /// A process did not answer.
    unreachable = 3,
};

/// Where a command writes.
struct console
{
    std::ostream& out;
    std::ostream& err;
    /// Whether @a err is a terminal that shows progress.
    bool shows_progress = false;
};

/// Runs one command.
/// @param args the arguments after the program's name
exit_code run_command_line(const std::vector<std::string>& args, console& output);

} // namespace masticcourse

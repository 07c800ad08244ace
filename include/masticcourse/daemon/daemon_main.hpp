/// @file
/// What the mains of both daemons share: the command line, the settings, exit codes.
#pragma once

#include "masticcourse/settings/settings.hpp"

#include <functional>
#include <string>

namespace masticcourse
{

/// @name Exit codes
/// @{
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_settings = 2;
/// @}

/// Runs one process of a deployment.
/// @return nothing if the settings name no such process, else its exit code
using daemon_body = std::function<bool(const deployment_settings&, const process_name&)>;

/// Reads `--settings FILE --name NAME`, the settings, and runs the process.
/// @param program the program's name
/// @param body    runs until the process is to end; false if the settings don't name it
/// @return the exit code
int daemon_main(const std::string& program, int argc, const char* const* argv, const daemon_body& body);

} // namespace masticcourse

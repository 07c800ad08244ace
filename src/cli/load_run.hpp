/// @file
/// Drives a deployment with planned programs over HTTP and measures them.
#pragma once

#include "load_plan.hpp"
#include "load_report.hpp"

#include "masticcourse/cli/command_line.hpp"

#include <vector>

namespace masticcourse::detail
{

/// Starts each program at its time, whatever has become of those before, and waits for all to end.
/// @param output where progress is shown, if it is a terminal
[[nodiscard]] load_report run_load(const deployment_settings& settings,
                                   const std::vector<planned_program>& programs, console& output);

} // namespace masticcourse::detail

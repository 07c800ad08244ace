/// @file
/// Executes a load plan against a deployment over HTTP.
#pragma once

#include "load_plan.hpp"
#include "load_report.hpp"

#include "masticcourse/cli/command_line.hpp"

#include <vector>

namespace masticcourse::detail
{

/// Starts each program at its planned time, regardless of the progress of earlier ones, and waits until all
/// have ended.
/// @param output receives progress if it is a terminal
[[nodiscard]] load_report run_load(const deployment_settings& settings,
                                   const std::vector<planned_program>& programs, console& output);

} // namespace masticcourse::detail

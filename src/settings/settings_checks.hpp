/// @file
/// Consistency checks between the parts of a deployment's settings, in addition to the checks of each key.
#pragma once

#include "table_reader.hpp"

namespace masticcourse::detail
{

/// Line numbers of the elements in the settings file, in the order of the vectors of deployment_settings.
struct settings_line_numbers
{
    std::vector<std::uint32_t> entries;
    std::vector<std::uint32_t> targets;
    std::vector<std::uint32_t> services;
    std::vector<std::uint32_t> workspaces;
    std::uint32_t limits = 0;
};

/// Reports duplicate names and addresses, unknown services, missing tokens, and contradictory time limits.
void check_settings(const deployment_settings& settings, const settings_line_numbers& lines,
                    diagnostic_list& diagnostics);

} // namespace masticcourse::detail

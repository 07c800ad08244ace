/// @file
/// What must hold between the parts of a deployment's settings, beyond what each key says for itself.
#pragma once

#include "table_reader.hpp"

namespace masticcourse::detail
{

/// Where each element of the settings stands in the file, in order of the vectors of deployment_settings.
struct settings_line_numbers
{
    std::vector<std::uint32_t> entries;
    std::vector<std::uint32_t> targets;
    std::vector<std::uint32_t> services;
    std::vector<std::uint32_t> workspaces;
    std::uint32_t limits = 0;
};

/// Notes duplicate names and addresses, unknown services, missing tokens, and periods that contradict.
void check_settings(const deployment_settings& settings, const settings_line_numbers& lines,
                    diagnostic_list& diagnostics);

} // namespace masticcourse::detail

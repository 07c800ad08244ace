/// @file
/// The file that keeps the tokens apart from the settings.
#pragma once

#include "table_reader.hpp"

namespace masticcourse::detail
{

/// Reads `operator` and the table `workspaces` of a tokens file into @a settings.
/// @param path   where the file is
/// @param faults takes the faults, with the file's own name and lines
void read_tokens_file(const std::string& path, deployment_settings& settings,
                      std::vector<settings_diagnostic>& diagnostics);

} // namespace masticcourse::detail

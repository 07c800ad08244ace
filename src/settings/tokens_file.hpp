/// @file
/// Reads the tokens file, which keeps secrets out of the settings file.
#pragma once

#include "table_reader.hpp"

namespace masticcourse::detail
{

/// Reads `operator` and the table `workspaces` of a tokens file into @a settings.
/// @param path        path of the tokens file
/// @param diagnostics receives the errors, with the name and line numbers of the tokens file
void read_tokens_file(const std::string& path, deployment_settings& settings,
                      std::vector<settings_diagnostic>& diagnostics);

} // namespace masticcourse::detail

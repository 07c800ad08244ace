/// @file
/// Plain-text tables with aligned columns.
#pragma once

#include <string>
#include <vector>

namespace masticcourse::detail
{

using table_line = std::vector<std::string>;

/// @param lines the header and the rows, all with the same number of cells
/// @return the table with aligned columns
[[nodiscard]] std::string render_table(const std::vector<table_line>& lines);

} // namespace masticcourse::detail

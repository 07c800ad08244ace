/// @file
/// Tables of text in aligned columns.
#pragma once

#include <string>
#include <vector>

namespace masticcourse::detail
{

using table_line = std::vector<std::string>;

/// @param lines the heading and the rows, all of the same length
/// @return the lines with their columns aligned
[[nodiscard]] std::string render_table(const std::vector<table_line>& lines);

} // namespace masticcourse::detail

/// @file
/// The benchmark's tables as Markdown and CSV.
#pragma once

#include "experiments.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace masticcourse::bench
{

enum class table_format
{
    markdown,
    csv,
};

void write_loads(std::ostream& out, const std::vector<load_row>& rows, table_format format);
void write_faults(std::ostream& out, const std::vector<fault_row>& rows, table_format format);

} // namespace masticcourse::bench

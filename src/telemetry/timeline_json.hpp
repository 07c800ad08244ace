/// @file
/// The JSON form of a process's time line.
#pragma once

#include "masticcourse/telemetry/timeline.hpp"

#include <string>

namespace masticcourse::detail
{

/// @return the export as JSON; bytes that are no UTF-8 are replaced
[[nodiscard]] std::string export_to_json(const timeline_export& content);

} // namespace masticcourse::detail

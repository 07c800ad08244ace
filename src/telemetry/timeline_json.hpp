/// @file
/// JSON serialization of timelines.
#pragma once

#include "masticcourse/telemetry/timeline.hpp"

#include <string>

namespace masticcourse::detail
{

/// @return the export as JSON; invalid UTF-8 is replaced
[[nodiscard]] std::string export_to_json(const timeline_export& content);

} // namespace masticcourse::detail

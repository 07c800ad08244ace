/// @file
/// The platform's list of VMs: it lags, and serves as a hint.
#pragma once

#include "masticcourse/control/entry_core.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticcourse
{

/// Reads the platform's list.
/// @param text JSON array of `{"name","role","address","service","failure_domain","state"}`
/// @return the processes, or nothing if the text is no such list
[[nodiscard]] std::optional<std::vector<known_process>> parse_vm_list(const std::string& text);

} // namespace masticcourse

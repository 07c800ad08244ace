/// @file
/// The processes of a deployment as settings and the platform's list name them.
#pragma once

#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/settings/settings.hpp"

#include <functional>
#include <vector>

namespace masticcourse
{

/// @return all entries and targets that the settings name
[[nodiscard]] std::vector<known_process> processes_of(const deployment_settings& settings);

/// Reads the platform's list once and calls back if it could be read.
void fetch_vm_list(http_client& client, const platform_settings& platform,
                   std::function<void(std::vector<known_process>)> on_list);

} // namespace masticcourse

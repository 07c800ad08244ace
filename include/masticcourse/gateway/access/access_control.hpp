/// @file
/// Access control for requests, based only on the active configuration and without network access.
#pragma once

#include "masticcourse/gateway/route_table.hpp"

#include <cstdint>
#include <string_view>

namespace masticcourse::gateway
{

enum class access_outcome : std::uint8_t
{
    /// The route requires no key, or no workspace is configured.
    open,
    granted,
    /// The key belongs to no workspace.
    unknown_key,
    /// The key is unknown here, but a newer configuration may contain it.
    undecided,
};

struct access_decision
{
    access_outcome outcome = access_outcome::open;
    /// Workspace that the key belongs to; set only if access is granted. Valid as long as the configuration.
    const workspace* owner = nullptr;
};

/// @param config_is_current whether the configuration is known to be the newest one. A gateway that has not
/// yet received a newly added key must not deny it permanently.
[[nodiscard]] access_decision check_access(const gateway_config& config, const route& route,
                                           std::string_view key, bool config_is_current);

} // namespace masticcourse::gateway

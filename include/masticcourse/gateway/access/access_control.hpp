/// @file
/// Who may send a request: decided from the configuration in force alone, without network.
#pragma once

#include "masticcourse/gateway/route_table.hpp"

#include <cstdint>
#include <string_view>

namespace masticcourse::gateway
{

enum class access_outcome : std::uint8_t
{
    /// The route asks for no key, or no workspace is configured.
    open,
    granted,
    /// No workspace has the key.
    unknown_key,
    /// The key is not known here, but a newer configuration may hold it.
    undecided,
};

struct access_decision
{
    access_outcome outcome = access_outcome::open;
    /// Set if access is granted; lives as long as the configuration.
    const workspace* owner = nullptr;
};

/// @param config_is_current whether the configuration is sure to be the newest one: a key that was just added
/// must not be denied for good by a gateway that has not heard of it
[[nodiscard]] access_decision check_access(const gateway_config& config, const route& route,
                                           std::string_view key, bool config_is_current);

} // namespace masticcourse::gateway

#include "masticcourse/gateway/access/access_control.hpp"

namespace masticcourse::gateway
{

access_decision check_access(const gateway_config& config, const route& route, std::string_view key,
                             bool config_is_current)
{
    if (config.workspaces.empty() || route.allows_anonymous)
    {
        return {};
    }
    if (const auto* const owner = config.workspaces.find_by_key(key))
    {
        return {.outcome = access_outcome::granted, .owner = owner};
    }
    // A request without a key is denied under every configuration.
    const bool certain = config_is_current || key.empty();
    return {.outcome = certain ? access_outcome::unknown_key : access_outcome::undecided};
}

} // namespace masticcourse::gateway

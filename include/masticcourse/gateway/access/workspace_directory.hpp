/// @file
/// Workspaces of a configuration: their access keys, priorities and quotas.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Rate limit of a workspace across all gateways.
struct request_quota
{
    /// Requests per second.
    double rate = 0;
    /// Number of requests that may be sent at once after an idle period.
    double burst = 0;

    friend bool operator==(const request_quota&, const request_quota&) = default;
};

struct workspace
{
    workspace_id name;
    /// Any of these keys grants access to the workspace. Keys must not appear in logs, metrics or errors.
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    /// Empty if the workspace is not rate limited.
    std::optional<request_quota> quota;
};

class workspace_directory
{
  public:
    workspace_directory() = default;
    /// @param workspaces names and keys must be non-empty and unique
    explicit workspace_directory(std::vector<workspace> workspaces);

    /// @return the workspace that the key belongs to, or `nullptr`
    [[nodiscard]] const workspace* find_by_key(std::string_view key) const;
    /// @return the workspace with that name, or `nullptr`
    [[nodiscard]] const workspace* find(const workspace_id& name) const;

    [[nodiscard]] const std::vector<workspace>& all() const
    {
        return m_workspaces;
    }
    /// @return whether no workspace is configured; callers then need no key
    [[nodiscard]] bool empty() const
    {
        return m_workspaces.empty();
    }
    /// @return whether any workspace has a quota
    [[nodiscard]] bool has_quotas() const;

  private:
    std::vector<workspace> m_workspaces;
    /// Indices into `m_workspaces` by key and by name.
    std::unordered_map<std::string, std::size_t> m_by_key;
    std::unordered_map<workspace_id, std::size_t> m_by_name;
};

/// @return the internal id of a program or turn, qualified by its workspace, because callers of different
/// workspaces may choose the same id. Without a workspace the id is returned unchanged.
template <typename Id>
[[nodiscard]] Id workspace_scoped_id(const workspace_id& workspace, const Id& id)
{
    // Ids chosen by callers contain no slash, so different pairs can't produce the same id.
    return workspace.empty() ? id : Id{workspace.value + "/" + id.value};
}

} // namespace masticcourse::gateway

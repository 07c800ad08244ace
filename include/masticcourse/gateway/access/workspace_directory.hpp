/// @file
/// The workspaces of a configuration: whose key a caller shows, and what that workspace may send.
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

/// What a workspace may send through all gateways together.
struct request_quota
{
    /// Requests a second.
    double rate = 0;
    /// Requests at once after a pause.
    double burst = 0;

    friend bool operator==(const request_quota&, const request_quota&) = default;
};

struct workspace
{
    workspace_id name;
    /// Any of them opens the workspace. They stand in no log, metric or error.
    std::vector<std::string> keys;
    /// Goes before that of the route; 0 is the most urgent.
    std::optional<std::uint32_t> priority;
    /// Empty if the workspace has no limit.
    std::optional<request_quota> quota;
};

class workspace_directory
{
  public:
    workspace_directory() = default;
    /// @param workspaces with names and keys that are not empty, each only once
    explicit workspace_directory(std::vector<workspace> workspaces);

    /// @return the workspace that a key opens, or null
    [[nodiscard]] const workspace* find_by_key(std::string_view key) const;
    /// @return the workspace of that name, or null
    [[nodiscard]] const workspace* find(const workspace_id& name) const;

    [[nodiscard]] const std::vector<workspace>& all() const
    {
        return m_workspaces;
    }
    /// Whether no workspace is configured: then callers show no keys.
    [[nodiscard]] bool empty() const
    {
        return m_workspaces.empty();
    }
    /// Whether any workspace has a limit.
    [[nodiscard]] bool has_quotas() const;

  private:
    std::vector<workspace> m_workspaces;
    /// By key and by name: positions in the list.
    std::unordered_map<std::string, std::size_t> m_by_key;
    std::unordered_map<workspace_id, std::size_t> m_by_name;
};

/// @return the id by which the system knows what belongs to a workspace: callers of two workspaces may choose
/// the same id for their programs or turns. Without a workspace the id stays as it is.
template <typename Id>
[[nodiscard]] Id workspace_scoped_id(const workspace_id& workspace, const Id& id)
{
    // Callers' ids hold no slash, so no two pairs give one id.
    return workspace.empty() ? id : Id{workspace.value + "/" + id.value};
}

} // namespace masticcourse::gateway

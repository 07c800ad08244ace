#include "masticcourse/gateway/access/workspace_directory.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace masticcourse::gateway
{

workspace_directory::workspace_directory(std::vector<workspace> workspaces)
    : m_workspaces(std::move(workspaces))
{
    for (std::size_t n = 0; n < m_workspaces.size(); ++n)
    {
        const auto& it = m_workspaces[n];
        assert(!it.name.empty() && "workspace name must not be empty");
        m_by_name.emplace(it.name, n);
        for (const auto& key : it.keys)
        {
            assert(!key.empty() && "access key must not be empty");
            m_by_key.emplace(key, n);
        }
    }
}

const workspace* workspace_directory::find_by_key(std::string_view key) const
{
    const auto it = m_by_key.find(std::string{key});
    return it != m_by_key.end() ? &m_workspaces[it->second] : nullptr;
}

const workspace* workspace_directory::find(const workspace_id& name) const
{
    const auto it = m_by_name.find(name);
    return it != m_by_name.end() ? &m_workspaces[it->second] : nullptr;
}

bool workspace_directory::has_quotas() const
{
    return std::ranges::any_of(m_workspaces, [](const workspace& it) { return it.quota.has_value(); });
}

} // namespace masticcourse::gateway

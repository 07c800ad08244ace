#include "masticcourse/memory/memory_shares.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse
{

namespace
{

/// Room is short while more than the capacity divided by this is held.
constexpr std::size_t short_divisor = 2;
/// While room is short, a workspace holds at most the capacity divided by this.
constexpr std::size_t workspace_divisor = 3;
/// Each step of priority leaves a further part of the capacity to the more urgent, up to a number of steps.
constexpr std::size_t priority_divisor = 20;
constexpr std::uint32_t max_priority_steps = 3;

} // namespace

memory_share::memory_share(memory_share&& other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr)), m_workspace(std::move(other.m_workspace)),
      m_size(other.m_size)
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    std::swap(m_owner, other.m_owner);
    std::swap(m_workspace, other.m_workspace);
    std::swap(m_size, other.m_size);
    return *this;
}

memory_share::~memory_share()
{
    if (m_owner != nullptr)
    {
        m_owner->release(m_workspace, m_size);
    }
}

std::optional<memory_share> memory_shares::claim(const memory_claim& claim)
{
    if (!leaves_room(claim))
    {
        return std::nullopt;
    }
    if (claim.workspace.empty())
    {
        return memory_share{};
    }
    m_by_workspace[claim.workspace] += claim.size;
    return memory_share{*this, claim.workspace, claim.size};
}

bool memory_shares::leaves_room(const memory_claim& claim) const
{
    if (!m_account)
    {
        return true;
    }
    const auto capacity = m_account->capacity();
    const auto after = m_account->held() + claim.size - claim.held;
    if (after <= capacity / short_divisor)
    {
        return true;
    }
    const auto steps = std::min(claim.priority, max_priority_steps);
    const auto limit = m_account->limit_of(claim.use) - capacity / priority_divisor * steps;
    const bool one_takes_all =
        !claim.workspace.empty() && held_by(claim.workspace) + claim.size > capacity / workspace_divisor;
    return after <= limit && !one_takes_all;
}

std::size_t memory_shares::held_by(const std::string& workspace) const
{
    const auto it = m_by_workspace.find(workspace);
    return it != m_by_workspace.end() ? it->second : 0;
}

void memory_shares::release(const std::string& workspace, std::size_t size)
{
    const auto it = m_by_workspace.find(workspace);
    if (it == m_by_workspace.end())
    {
        return;
    }
    it->second -= std::min(size, it->second);
    if (it->second == 0)
    {
        m_by_workspace.erase(it);
    }
}

} // namespace masticcourse

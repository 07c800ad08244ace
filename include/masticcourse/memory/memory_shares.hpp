/// @file
/// Decides for which requests memory is held while room is short. Contains no I/O.
///
/// Load pattern: one workspace sends long bodies faster than targets read them, or many less urgent requests
/// come at once, while others need a little room. While the account is less than half full, nobody is
/// refused. Above that, a workspace may hold a part of the capacity only, and the less urgent a request is,
/// the more room it leaves to others.
#pragma once

#include "masticcourse/memory/memory_account.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticcourse
{

class memory_shares;

/// What is held for one request of a workspace; released on destruction.
class memory_share
{
  public:
    memory_share() = default;
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    ~memory_share();

  private:
    friend class memory_shares;
    memory_share(memory_shares& owner, std::string workspace, std::size_t size)
        : m_owner(&owner), m_workspace(std::move(workspace)), m_size(size)
    {
    }

    memory_shares* m_owner = nullptr;
    std::string m_workspace;
    std::size_t m_size = 0;
};

/// A request for which memory is to be held.
struct memory_claim
{
    /// Empty if the request belongs to none.
    std::string workspace;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    memory_use use = memory_use::requests;
    /// Bytes held for the request.
    std::size_t size = 0;
    /// How many of them are in the account already.
    std::size_t held = 0;
};

/// Must outlive its shares. Not thread-safe.
class memory_shares
{
  public:
    /// @param account may be null; then everything is granted
    explicit memory_shares(memory_account_ptr account) : m_account(std::move(account)) {}

    /// @return nothing if the room is to be left to others
    [[nodiscard]] std::optional<memory_share> claim(const memory_claim& claim);

    /// @return the bytes held for requests of @a workspace
    [[nodiscard]] std::size_t held_by(const std::string& workspace) const;

  private:
    friend class memory_share;

    [[nodiscard]] bool leaves_room(const memory_claim& claim) const;
    void release(const std::string& workspace, std::size_t size);

    memory_account_ptr m_account;
    std::map<std::string, std::size_t> m_by_workspace;
};

} // namespace masticcourse

/// @file
/// Strongly typed identifiers. They prevent, for example, a program id from being passed as a call key.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace masticcourse
{

/// A string wrapper that is a distinct type for each tag.
/// @tparam Tag any type; used only to distinguish kinds of identifiers
template <typename Tag>
struct strong_string
{
    std::string value;

    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }

    friend auto operator<=>(const strong_string&, const strong_string&) = default;
};

/// @name Identifiers
/// @{
using program_id = strong_string<struct program_id_tag>;
/// The caller's identifier of one call of a program (the `Idempotency-Key` header).
using call_key = strong_string<struct call_key_tag>;
using workspace_id = strong_string<struct workspace_id_tag>;
using service_name = strong_string<struct service_name_tag>;
/// The configured name of a process, which stays the same across restarts.
using process_name = strong_string<struct process_name_tag>;
/// Identifies one run of a process: its name and a random suffix that changes at every start.
using incarnation_id = strong_string<struct incarnation_id_tag>;
using region_name = strong_string<struct region_name_tag>;
using failure_domain_name = strong_string<struct failure_domain_name_tag>;
/// @}

/// The epoch of a shard's ownership. It increases monotonically and serves as the fencing token.
using epoch_number = std::uint64_t;
/// The version of an accepted configuration. It increases monotonically.
using config_version = std::uint64_t;
/// The index of a shard.
using shard_index = std::uint32_t;
/// A number of model tokens; budgets use the same unit.
using token_count = std::int64_t;

/// Separates a sub-agent's own part of its id from the id of its parent, as in `root.1.4`.
inline constexpr char sub_agent_separator = '.';

/// Maps a program to its shard. A sub-agent maps to the shard of its root program, so that one process owns
/// the whole tree.
/// @param id          the program
/// @param shard_count number of shards; must be the same on all processes and must never change
/// @return an index less than @a shard_count
[[nodiscard]] shard_index shard_of(const program_id& id, shard_index shard_count);

} // namespace masticcourse

template <typename Tag>
struct std::hash<masticcourse::strong_string<Tag>>
{
    std::size_t operator()(const masticcourse::strong_string<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

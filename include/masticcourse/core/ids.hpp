/// @file
/// Strongly typed identifiers: a program's id can't be passed where a call's key is meant.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace masticcourse
{

/// A string with a type of its own.
/// @tparam Tag any type; it only tells one kind of identifier from another
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
/// A caller's name for one call of a program (its `Idempotency-Key`).
using call_key = strong_string<struct call_key_tag>;
using workspace_id = strong_string<struct workspace_id_tag>;
using service_name = strong_string<struct service_name_tag>;
/// The configured name of a process, the same after a restart.
using process_name = strong_string<struct process_name_tag>;
/// One life of a process: its name and a random part, new at every start.
using incarnation_id = strong_string<struct incarnation_id_tag>;
using region_name = strong_string<struct region_name_tag>;
using failure_domain_name = strong_string<struct failure_domain_name_tag>;
/// @}

/// The number of an ownership of a shard; it only grows, and serves as fencing number.
using epoch_number = std::uint64_t;
/// The number of an accepted configuration; it only grows.
using config_version = std::uint64_t;
/// Which shard a program belongs to.
using shard_index = std::uint32_t;
/// A count of model tokens; also the unit of budgets.
using token_count = std::int64_t;

/// Separates a sub-agent's own part of its id from that of the program it belongs to: `root.1.4`.
inline constexpr char sub_agent_separator = '.';

/// The shard that a program belongs to; a sub-agent belongs to its root's, so that a whole tree has one home.
/// @param id          the program
/// @param shard_count number of shards, the same on all processes and for ever
/// @return an index below @a shard_count
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

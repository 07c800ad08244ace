/// @file
/// The table row that says who owns a shard and which journals hold its records.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse
{

/// The prefix of the keys of all shard rows.
inline constexpr std::string_view shard_key_prefix = "shard/";

/// A range of one journal's entries that holds records of the shard.
struct journal_part
{
    incarnation_id journal;
    std::uint64_t from_index = 1;
    /// The first index that no longer belongs to the part; unset while the owner is still writing it.
    std::optional<std::uint64_t> until;
    friend bool operator==(const journal_part&, const journal_part&) = default;
};

/// The row `shard/<n>`.
struct shard_row
{
    shard_index shard = 0;
    /// Raised by each change of owner.
    epoch_number epoch = 0;
    /// Empty after a graceful release.
    incarnation_id owner;
    process_name owner_name;
    /// Where the owner takes connections, "ip:port".
    std::string owner_address;
    std::vector<journal_part> parts;
    friend bool operator==(const shard_row&, const shard_row&) = default;
};

[[nodiscard]] std::string shard_key(shard_index shard);

/// @return the row's value as JSON text
[[nodiscard]] std::string encode(const shard_row& row);

/// @return the row, or nothing if @a text is no valid one
[[nodiscard]] std::optional<shard_row> decode_shard_row(const std::string& text);

} // namespace masticcourse

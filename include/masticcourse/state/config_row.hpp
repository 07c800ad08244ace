/// @file
/// The table row that holds the configuration in force.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse
{

inline constexpr std::string_view config_key = "config";

/// How many accepted patches the row remembers; a lost answer can be settled that long.
inline constexpr std::size_t remembered_patches = 64;

/// An accepted patch.
struct accepted_patch
{
    std::string id;
    config_version version = 0;
    friend bool operator==(const accepted_patch&, const accepted_patch&) = default;
};

/// The row `config`. No row stands for version 0 with an empty document.
struct config_row
{
    config_version version = 0;
    /// The whole document as JSON text.
    std::string document = "{}";
    /// The last accepted patches, oldest first.
    std::vector<accepted_patch> patches;
    friend bool operator==(const config_row&, const config_row&) = default;
};

[[nodiscard]] std::string encode(const config_row& row);

/// @return the row, or nothing if @a text is no valid one
[[nodiscard]] std::optional<config_row> decode_config_row(const std::string& text);

} // namespace masticcourse

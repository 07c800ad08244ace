/// @file
/// Parses untrusted JSON within limits. Nothing here throws, and the cost is bounded by the length of the
/// text.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace masticcourse::detail
{

/// Maximum nesting depth of objects and arrays.
inline constexpr int max_json_depth = 32;

/// A parsed value, or an error message.
struct json_parse_result
{
    nlohmann::json value;
    /// Empty on success.
    std::string error;
};

/// Rejects texts that are too long, nested too deeply, not valid JSON, not valid UTF-8, or that contain
/// duplicate members.
[[nodiscard]] json_parse_result parse_bounded_json(const std::string& text, std::size_t max_size);

} // namespace masticcourse::detail

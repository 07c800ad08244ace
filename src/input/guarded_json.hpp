/// @file
/// JSON from outside, parsed with bounds: nothing throws, and no text costs more than its length.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace masticcourse::detail
{

/// Deepest nesting of objects and arrays.
inline constexpr int max_json_depth = 32;

/// A value, or why there is none.
struct json_parse_result
{
    nlohmann::json value;
    /// Empty if the text is good.
    std::string error;
};

/// Refuses texts that are too long, too deep, no JSON, no UTF-8, or that name a member twice.
[[nodiscard]] json_parse_result parse_bounded_json(const std::string& text, std::size_t max_size);

} // namespace masticcourse::detail

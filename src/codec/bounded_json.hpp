/// @file
/// Parses JSON that others wrote, within bounds: each value takes the parser many times the bytes of its
/// text, and deep nesting exhausts the stack of those who copy a document.
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace masticcourse::codec
{

/// Exceeds the nesting of every document by far.
inline constexpr std::size_t max_json_nesting = 64;
/// Values in a document: several times those of the largest page of rows that a store returns.
inline constexpr std::size_t max_json_values = std::size_t{128} * 1024;

/// @return whether the parser can read @a text, valid or not, within the bounds
[[nodiscard]] bool is_bounded_json(std::string_view text);

/// @return whether @a text can be an object within the bounds. It need not be valid: strings, numbers and
/// the order of values are not checked.
[[nodiscard]] bool is_bounded_object(std::string_view text);

/// @return the document, or a discarded value unless @a text is valid JSON within the bounds
[[nodiscard]] nlohmann::json parse_bounded(std::string_view text);

} // namespace masticcourse::codec

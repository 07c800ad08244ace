/// @file
/// The answers of the model engine: made-up words that depend on the whole prompt, so that a test can tell a
/// whole answer to the right request from any other.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace masticcourse::standins
{

/// Names a prompt prefix: the hash of its last segment, seeded with the name of what stands before it.
using prefix_key = std::uint64_t;

/// The name of the empty prefix.
inline constexpr prefix_key empty_prefix = 0;

/// @return the name of the prefix that consists of @a parent and @a segment
[[nodiscard]] prefix_key extend_prefix_key(prefix_key parent, const std::string& segment);

/// @return the name of a whole prompt
[[nodiscard]] prefix_key compute_prefix_key(std::span<const std::string> prompt);

/// @return word @a index (from 0) of the answer to a prompt, with a leading space from the second word on
[[nodiscard]] std::string completion_word(prefix_key prompt, std::uint64_t index);

/// @return the first @a words words of the answer to @a prompt
[[nodiscard]] std::string completion_text(std::span<const std::string> prompt, token_count words);

} // namespace masticcourse::standins

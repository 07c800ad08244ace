/// @file
/// Completions of the simulated model engine: pseudo-random words derived from a hash of the whole prompt, so
/// that a test can verify that a completion is intact and belongs to its request.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace masticcourse::standins
{

/// Identifies a prompt prefix: the hash of its last segment, seeded with the key of the preceding prefix.
using prefix_key = std::uint64_t;

/// Key of the empty prefix.
inline constexpr prefix_key empty_prefix = 0;

/// @return the key of the prefix @a parent extended by @a segment
[[nodiscard]] prefix_key extend_prefix_key(prefix_key parent, const std::string& segment);

/// @return the key of a complete prompt
[[nodiscard]] prefix_key compute_prefix_key(std::span<const std::string> prompt);

/// @return the word at zero-based @a index of the completion of a prompt, with a leading space except at
/// index 0
[[nodiscard]] std::string completion_word(prefix_key prompt, std::uint64_t index);

/// @return the first @a words words of the completion of @a prompt
[[nodiscard]] std::string completion_text(std::span<const std::string> prompt, token_count words);

} // namespace masticcourse::standins

/// @file
/// Comparison of secret tokens.
#pragma once

#include <string_view>

namespace masticcourse
{

/// Compares two tokens in a time that depends on their lengths only. An empty token equals nothing.
[[nodiscard]] bool tokens_equal(std::string_view a, std::string_view b);

} // namespace masticcourse

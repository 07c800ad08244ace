/// @file
/// Constant-time comparison of secret tokens.
#pragma once

#include <string_view>

namespace masticcourse
{

/// Compares two tokens in time that depends only on their lengths. An empty token equals no token.
[[nodiscard]] bool tokens_equal(std::string_view a, std::string_view b);

} // namespace masticcourse

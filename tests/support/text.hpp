/// @file
/// Texts for tests of what is large or nested.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace masticcourse::testing
{

/// @return @a text @a count times
[[nodiscard]] inline std::string repeat(std::string_view text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t n = 0; n < count; ++n)
    {
        all += text;
    }
    return all;
}

} // namespace masticcourse::testing

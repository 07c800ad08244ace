/// @file
/// Formats of strings in the settings and the configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticcourse::detail
{

enum class text_format : std::uint8_t
{
    /// 1 to 64 letters, digits, `-`, `_` and `.`.
    name,
    address,
    secret,
    path,
};

/// @return an error message, or nothing if @a text is valid
[[nodiscard]] std::optional<std::string> validate_text(text_format format, const std::string& text);

} // namespace masticcourse::detail

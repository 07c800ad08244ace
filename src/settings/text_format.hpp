/// @file
/// What texts of the settings and the configuration may be.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticcourse::detail
{

enum class text_format : std::uint8_t
{
    /// A name: letters, digits, `-`, `_` and `.`.
    name,
    address,
    secret,
    path,
};

/// What is wrong with a text, or nothing.
[[nodiscard]] std::optional<std::string> validate_text(text_format format, const std::string& text);

} // namespace masticcourse::detail

/// @file
/// Parses JSON text from the table service; errors are reported as return values, not exceptions.
#pragma once

#include "cbor.hpp"

#include <optional>
#include <string>

namespace masticcourse::codec
{

/// @return the object, or nothing if @a text is not a JSON object
[[nodiscard]] inline std::optional<json> parse_json_object(const std::string& text)
{
    json result = json::parse(text, nullptr, false);
    return result.is_object() ? std::optional(std::move(result)) : std::nullopt;
}

/// Reads a required member of an object; if it is missing, the reader fails.
template <typename T>
void read_member(reader& in, const json& object, const char* name, T& to)
{
    const auto it = object.find(name);
    if (in.check(it != object.end()))
    {
        in(*it, to);
    }
}

} // namespace masticcourse::codec

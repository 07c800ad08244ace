/// @file
/// Percent-encoding of URL parts (RFC 3986).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// @return @a text with every byte but the unreserved ones as %XX, `/` included
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @return the text that @a encoded stands for, or nothing if an escape is malformed
[[nodiscard]] std::optional<std::string> percent_decode(std::string_view encoded);

/// A request target taken apart at its `?`.
struct target_parts
{
    std::string_view path;
    std::string_view query;
};

/// @return the still encoded path and query of @a target
[[nodiscard]] target_parts split_target(std::string_view target);

/// @return the decoded value of @a name in a query such as "a=1&b=2", if it is there and well-formed
[[nodiscard]] std::optional<std::string> query_value(std::string_view query, std::string_view name);

} // namespace masticcourse

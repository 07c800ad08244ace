/// @file
/// Percent-encoding of URI components (RFC 3986).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// Encodes every byte except the unreserved characters as %XX; `/` is encoded too.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @return the decoded text, or `std::nullopt` if an escape sequence is malformed
[[nodiscard]] std::optional<std::string> percent_decode(std::string_view encoded);

/// A request target split at the first `?`.
struct target_parts
{
    std::string_view path;
    std::string_view query;
};

/// @return the path and query of @a target, still percent-encoded
[[nodiscard]] target_parts split_target(std::string_view target);

/// @return the decoded value of the parameter @a name in a query such as "a=1&b=2", or `std::nullopt` if it
/// is missing or malformed
[[nodiscard]] std::optional<std::string> query_value(std::string_view query, std::string_view name);

} // namespace masticcourse

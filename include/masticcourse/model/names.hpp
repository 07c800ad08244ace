/// @file
/// Names of the enumerators of kinds and classes in settings, the configuration and the API.
#pragma once

#include "masticcourse/model/call.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace masticcourse
{

/// @return the names of all enumerators in order of declaration
[[nodiscard]] std::span<const std::string_view> call_kind_names();
[[nodiscard]] std::span<const std::string_view> service_class_names();

[[nodiscard]] std::string_view to_string(call_kind kind);
[[nodiscard]] std::string_view to_string(service_class priority);

/// @return the enumerator named @a text, if any
[[nodiscard]] std::optional<call_kind> parse_call_kind(std::string_view text);
[[nodiscard]] std::optional<service_class> parse_service_class(std::string_view text);

} // namespace masticcourse

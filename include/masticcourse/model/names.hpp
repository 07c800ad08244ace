/// @file
/// The words for kinds and classes, as settings, the configuration and the API spell them.
#pragma once

#include "masticcourse/model/call.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace masticcourse
{

/// @return all kinds' words in order of the enumeration
[[nodiscard]] std::span<const std::string_view> call_kind_names();
[[nodiscard]] std::span<const std::string_view> service_class_names();

[[nodiscard]] std::string_view to_string(call_kind kind);
[[nodiscard]] std::string_view to_string(service_class priority);

/// @return the value that @a text names, if any
[[nodiscard]] std::optional<call_kind> parse_call_kind(std::string_view text);
[[nodiscard]] std::optional<service_class> parse_service_class(std::string_view text);

} // namespace masticcourse

/// @file
/// Tables of what the members of a JSON object may be, and the check that notes every fault at once.
#pragma once

#include "masticcourse/settings/config_document.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::detail
{

enum class member_type : std::uint8_t
{
    string,
    /// A text of 1 to 64 letters, digits, `-`, `_` and `.`.
    name,
    boolean,
    integer,
    kind,
    priority,
};

/// What one member of an object may be.
struct member_rule
{
    std::string_view name;
    member_type type = member_type::string;
    bool required = false;
    /// Least and greatest integer; for a text, its bytes.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// For the operators' pages.
    std::string_view doc;
};

/// @return what values the rule allows, in words
[[nodiscard]] std::string describe_type(const member_rule& rule);

/// @return the JSON pointer to member @a name of what @a pointer points to
[[nodiscard]] std::string member_pointer(const std::string& pointer, std::string_view name);

/// Checks an object against its rules; members without a rule are faults too.
/// @return whether no fault was added
bool check_members(const nlohmann::json& object, const std::string& pointer,
                   std::span<const member_rule> rules, std::vector<config_error>& errors);

/// @return the member's value if it is there; the object must have passed its check
template <typename Value>
[[nodiscard]] std::optional<Value> read_member(const nlohmann::json& object, std::string_view name)
{
    const auto it = object.find(name);
    return it != object.end() ? std::optional{it->template get<Value>()} : std::nullopt;
}

/// @name Members of types of our own
/// @{
[[nodiscard]] std::optional<call_kind> read_kind(const nlohmann::json& object, std::string_view name);
[[nodiscard]] std::optional<service_class> read_priority(const nlohmann::json& object, std::string_view name);
[[nodiscard]] std::optional<std::chrono::milliseconds> read_milliseconds(const nlohmann::json& object,
                                                                         std::string_view name);
/// @}

} // namespace masticcourse::detail

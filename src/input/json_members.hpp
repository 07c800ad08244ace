/// @file
/// Rules for the members of a JSON object, and validation that reports all errors at once.
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
    /// A string of 1 to 64 letters, digits, `-`, `_` and `.`.
    name,
    boolean,
    integer,
    kind,
    priority,
};

/// The allowed values of one member of an object.
struct member_rule
{
    std::string_view name;
    member_type type = member_type::string;
    bool required = false;
    /// Inclusive range of an integer, or of the length of a string in bytes.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Description for the operators' reference.
    std::string_view doc;
};

/// @return a description of the values that the rule allows
[[nodiscard]] std::string describe_type(const member_rule& rule);

/// @return the JSON pointer to member @a name of the value at @a pointer
[[nodiscard]] std::string member_pointer(const std::string& pointer, std::string_view name);

/// Validates an object against its rules; a member without a rule is an error.
/// @return whether the object is valid, that is, no error was added
bool check_members(const nlohmann::json& object, const std::string& pointer,
                   std::span<const member_rule> rules, std::vector<config_error>& errors);

/// @return the member's value if present; the object must have been validated by check_members()
template <typename Value>
[[nodiscard]] std::optional<Value> read_member(const nlohmann::json& object, std::string_view name)
{
    const auto it = object.find(name);
    return it != object.end() ? std::optional{it->template get<Value>()} : std::nullopt;
}

/// @name Members of other types, with the same precondition as read_member()
/// @{
[[nodiscard]] std::optional<call_kind> read_kind(const nlohmann::json& object, std::string_view name);
[[nodiscard]] std::optional<service_class> read_priority(const nlohmann::json& object, std::string_view name);
[[nodiscard]] std::optional<std::chrono::milliseconds> read_milliseconds(const nlohmann::json& object,
                                                                         std::string_view name);
/// @}

} // namespace masticcourse::detail

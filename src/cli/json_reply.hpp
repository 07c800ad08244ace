/// @file
/// Helpers that read JSON replies for display. Missing members are shown as a dash.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace masticcourse::detail
{

/// @return the parsed document, or a null value if @a text is not valid JSON
[[nodiscard]] inline nlohmann::json parse_reply(const std::string& text)
{
    auto document = nlohmann::json::parse(text, nullptr, false);
    return document.is_discarded() ? nlohmann::json{} : document;
}

/// @return a member of an object as text, or `-` if it does not exist
[[nodiscard]] inline std::string member_text(const nlohmann::json& document, std::string_view name)
{
    if (!document.is_object() || !document.contains(name))
    {
        return "-";
    }
    const auto& value = document.at(std::string{name});
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace masticcourse::detail

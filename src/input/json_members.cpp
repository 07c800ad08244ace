#include "json_members.hpp"

#include "../settings/text_format.hpp"

#include "masticcourse/model/names.hpp"

#include <algorithm>
#include <limits>

namespace masticcourse::detail
{

namespace
{

using nlohmann::json;

std::string describe_range(const member_rule& rule)
{
    return "from " + std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
}

std::string join(std::span<const std::string_view> names)
{
    std::string text;
    for (const auto name : names)
    {
        text.append(text.empty() ? "" : ", ").append(name);
    }
    return text;
}

bool in_range(const json& value, const member_rule& rule)
{
    constexpr auto int64_max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > int64_max)
    {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    return number >= rule.minimum && number <= rule.maximum;
}

std::optional<std::string> validate_string(const json& value, const member_rule& rule)
{
    if (!value.is_string())
    {
        return "must be a text";
    }
    const auto size = static_cast<std::int64_t>(value.get_ref<const std::string&>().size());
    if (size < rule.minimum || size > rule.maximum)
    {
        return "must have " + describe_range(rule) + " bytes";
    }
    return std::nullopt;
}

std::optional<std::string> validate_name(const json& value)
{
    if (!value.is_string())
    {
        return "must be a text";
    }
    return validate_text(text_format::name, value.get_ref<const std::string&>());
}

std::optional<std::string> validate_integer(const json& value, const member_rule& rule)
{
    if (!value.is_number_integer() || !in_range(value, rule))
    {
        return "must be an integer " + describe_range(rule);
    }
    return std::nullopt;
}

std::optional<std::string> validate_choice(const json& value, std::span<const std::string_view> names)
{
    const bool known =
        value.is_string() && std::ranges::find(names, value.get_ref<const std::string&>()) != names.end();
    return known ? std::nullopt : std::optional{"must be one of " + join(names)};
}

std::optional<std::string> validate_value(const json& value, const member_rule& rule)
{
    switch (rule.type)
    {
    case member_type::string:
        return validate_string(value, rule);
    case member_type::name:
        return validate_name(value);
    case member_type::boolean:
        return value.is_boolean() ? std::nullopt : std::optional<std::string>{"must be true or false"};
    case member_type::integer:
        return validate_integer(value, rule);
    case member_type::kind:
        return validate_choice(value, call_kind_names());
    case member_type::priority:
        return validate_choice(value, service_class_names());
    }
    return std::nullopt;
}

void check_unknown_members(const json& object, const std::string& pointer, std::span<const member_rule> rules,
                           std::vector<config_error>& errors)
{
    for (const auto& [name, value] : object.items())
    {
        if (std::ranges::find(rules, std::string_view{name}, &member_rule::name) == rules.end())
        {
            errors.push_back({member_pointer(pointer, name), "unknown member"});
        }
    }
}

} // namespace

std::string describe_type(const member_rule& rule)
{
    switch (rule.type)
    {
    case member_type::string:
        return "text of " + describe_range(rule) + " bytes";
    case member_type::name:
        return "name";
    case member_type::boolean:
        return "true or false";
    case member_type::integer:
        return "integer " + describe_range(rule);
    case member_type::kind:
        return join(call_kind_names());
    case member_type::priority:
        return join(service_class_names());
    }
    return {};
}

std::string member_pointer(const std::string& pointer, std::string_view name)
{
    std::string text = pointer + "/";
    for (const char c : name)
    {
        if (c == '~' || c == '/')
        {
            text += c == '~' ? "~0" : "~1";
            continue;
        }
        text += c;
    }
    return text;
}

bool check_members(const json& object, const std::string& pointer, std::span<const member_rule> rules,
                   std::vector<config_error>& errors)
{
    const auto errors_before = errors.size();
    if (!object.is_object())
    {
        errors.push_back({pointer, "must be an object"});
        return false;
    }
    for (const auto& rule : rules)
    {
        const auto it = object.find(rule.name);
        if (it == object.end())
        {
            if (rule.required)
            {
                errors.push_back({member_pointer(pointer, rule.name), "missing"});
            }
        }
        else if (const auto error = validate_value(*it, rule))
        {
            errors.push_back({member_pointer(pointer, rule.name), *error});
        }
    }
    check_unknown_members(object, pointer, rules, errors);
    return errors.size() == errors_before;
}

std::optional<call_kind> read_kind(const json& object, std::string_view name)
{
    const auto text = read_member<std::string>(object, name);
    return text ? parse_call_kind(*text) : std::nullopt;
}

std::optional<service_class> read_priority(const json& object, std::string_view name)
{
    const auto text = read_member<std::string>(object, name);
    return text ? parse_service_class(*text) : std::nullopt;
}

std::optional<std::chrono::milliseconds> read_milliseconds(const json& object, std::string_view name)
{
    const auto count = read_member<std::int64_t>(object, name);
    return count ? std::optional{std::chrono::milliseconds{*count}} : std::nullopt;
}

} // namespace masticcourse::detail

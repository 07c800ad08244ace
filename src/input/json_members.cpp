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

std::string range_text(const member_rule& rule)
{
    return "from " + std::to_string(rule.least) + " to " + std::to_string(rule.most);
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
    constexpr auto greatest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > greatest)
    {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    return number >= rule.least && number <= rule.most;
}

std::optional<std::string> text_member_fault(const json& value, const member_rule& rule)
{
    if (!value.is_string())
    {
        return "must be a text";
    }
    const auto size = static_cast<std::int64_t>(value.get_ref<const std::string&>().size());
    if (size < rule.least || size > rule.most)
    {
        return "must have " + range_text(rule) + " bytes";
    }
    return std::nullopt;
}

std::optional<std::string> name_fault(const json& value)
{
    if (!value.is_string())
    {
        return "must be a text";
    }
    return text_fault(text_format::name, value.get_ref<const std::string&>());
}

std::optional<std::string> integer_fault(const json& value, const member_rule& rule)
{
    if (!value.is_number_integer() || !in_range(value, rule))
    {
        return "must be an integer " + range_text(rule);
    }
    return std::nullopt;
}

std::optional<std::string> choice_fault(const json& value, std::span<const std::string_view> names)
{
    const bool known =
        value.is_string() && std::ranges::find(names, value.get_ref<const std::string&>()) != names.end();
    return known ? std::nullopt : std::optional{"must be one of " + join(names)};
}

std::optional<std::string> value_fault(const json& value, const member_rule& rule)
{
    switch (rule.type)
    {
    case member_type::text:
        return text_member_fault(value, rule);
    case member_type::name:
        return name_fault(value);
    case member_type::boolean:
        return value.is_boolean() ? std::nullopt : std::optional<std::string>{"must be true or false"};
    case member_type::integer:
        return integer_fault(value, rule);
    case member_type::kind:
        return choice_fault(value, call_kind_names());
    case member_type::priority:
        return choice_fault(value, service_class_names());
    }
    return std::nullopt;
}

void check_unknown(const json& object, const std::string& pointer, std::span<const member_rule> rules,
                   std::vector<config_fault>& faults)
{
    for (const auto& [name, value] : object.items())
    {
        if (std::ranges::find(rules, std::string_view{name}, &member_rule::name) == rules.end())
        {
            faults.push_back({member_pointer(pointer, name), "unknown member"});
        }
    }
}

} // namespace

std::string describe_type(const member_rule& rule)
{
    switch (rule.type)
    {
    case member_type::text:
        return "text of " + range_text(rule) + " bytes";
    case member_type::name:
        return "name";
    case member_type::boolean:
        return "true or false";
    case member_type::integer:
        return "integer " + range_text(rule);
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
                   std::vector<config_fault>& faults)
{
    const auto before = faults.size();
    if (!object.is_object())
    {
        faults.push_back({pointer, "must be an object"});
        return false;
    }
    for (const auto& rule : rules)
    {
        const auto it = object.find(rule.name);
        if (it == object.end())
        {
            if (rule.required)
            {
                faults.push_back({member_pointer(pointer, rule.name), "missing"});
            }
        }
        else if (const auto wrong = value_fault(*it, rule))
        {
            faults.push_back({member_pointer(pointer, rule.name), *wrong});
        }
    }
    check_unknown(object, pointer, rules, faults);
    return faults.size() == before;
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

std::optional<std::chrono::milliseconds> read_ms(const json& object, std::string_view name)
{
    const auto count = read_member<std::int64_t>(object, name);
    return count ? std::optional{std::chrono::milliseconds{*count}} : std::nullopt;
}

} // namespace masticcourse::detail

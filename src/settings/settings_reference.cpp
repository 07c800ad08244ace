#include "key_table.hpp"

#include "masticcourse/model/names.hpp"

#include <span>
#include <string>

namespace masticcourse
{

namespace
{

using detail::key_spec;
using detail::text_format;

std::string_view format_name(text_format format)
{
    constexpr std::array<std::string_view, 4> names{"name", "IP:port", "secret", "path"};
    return names.at(static_cast<std::size_t>(format));
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

/// The type and default value of a key, as printed in the reference.
struct value_description
{
    std::string type;
    std::string default_value;
};

template <typename Row>
std::string describe_range(const key_spec<Row>& key)
{
    return "integer " + std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
}

template <typename Row>
value_description describe(const key_spec<Row>& key, const std::string& value)
{
    return {std::string{format_name(key.format)}, value.empty() ? "empty" : value};
}

template <typename Row, typename Tag>
value_description describe(const key_spec<Row>& key, const strong_string<Tag>& value)
{
    return describe(key, value.value);
}

template <typename Row>
value_description describe(const key_spec<Row>& /*key*/, bool value)
{
    return {"true or false", value ? "true" : "false"};
}

template <typename Row, typename Number>
    requires std::is_integral_v<Number>
value_description describe(const key_spec<Row>& key, Number value)
{
    return {describe_range(key), std::to_string(value)};
}

template <typename Row>
value_description describe(const key_spec<Row>& key, std::chrono::milliseconds value)
{
    return {describe_range(key), std::to_string(value.count())};
}

template <typename Row>
value_description describe(const key_spec<Row>& /*key*/, call_kind value)
{
    return {join(call_kind_names()), std::string{to_string(value)}};
}

template <typename Row>
value_description describe(const key_spec<Row>& /*key*/, service_class value)
{
    return {join(service_class_names()), std::string{to_string(value)}};
}

template <typename Row>
std::string render_table(std::string_view title, std::span<const key_spec<Row>> keys)
{
    std::string text = "\n## " + std::string{title} + "\n\n| key | type | if left out | meaning |\n";
    text += "| --- | --- | --- | --- |\n";
    const Row defaults;
    for (const auto& it : keys)
    {
        const auto value = std::visit([&](auto member) { return describe(it, defaults.*member); }, it.member);
        text.append("| `").append(it.key).append("` | ").append(value.type).append(" | ");
        text.append(it.required ? "required" : value.default_value)
            .append(" | ")
            .append(it.doc)
            .append(" |\n");
    }
    return text;
}

constexpr std::string_view introduction = R"(# Settings

Generated from the table of keys by `masticcourse check --markdown`; a test compares the two.

One TOML file describes a deployment. Each process reads it at start, and finds itself in it by `--name`:
`masticcourse-entry --settings FILE --name NAME`. `masticcourse check FILE` lists all faults of a file at once.
Keys that end in `_ms` are milliseconds.

Tokens may stand in a file of their own, named by `tokens_file`: `operator = "..."`, and under `[workspaces]`
one line `id = "..."` for each workspace.
)";

} // namespace

std::string settings_reference()
{
    std::string text{introduction};
    text += render_table<detail::root_settings>("Top of the file", detail::root_keys);
    text += render_table<entry_settings>("`[[entries]]`", detail::entry_keys);
    text += render_table<target_settings>("`[[targets]]`", detail::target_keys);
    text += render_table<service_settings>("`[[services]]`", detail::service_keys);
    text += render_table<workspace_settings>("`[[workspaces]]`", detail::workspace_keys);
    text += render_table<platform_settings>("`[platform]`", detail::platform_keys);
    text += render_table<limits_settings>("`[limits]`", detail::limits_keys);
    return text;
}

} // namespace masticcourse

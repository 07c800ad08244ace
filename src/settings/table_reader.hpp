/// @file
/// Reads one table of the settings file according to the key table and reports all errors.
#pragma once

#include "key_table.hpp"

#include "masticcourse/model/names.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace masticcourse::detail
{

/// Collects the diagnostics of one file.
class diagnostic_list
{
  public:
    explicit diagnostic_list(std::string file) : m_file(std::move(file)) {}

    void add(std::uint32_t line, std::string key, std::string message)
    {
        m_diagnostics.push_back({m_file, line, std::move(key), std::move(message)});
    }

    [[nodiscard]] std::vector<settings_diagnostic>& diagnostics()
    {
        return m_diagnostics;
    }

  private:
    std::string m_file;
    std::vector<settings_diagnostic> m_diagnostics;
};

/// @return the line number of @a node
[[nodiscard]] inline std::uint32_t line_of(const toml::node& node)
{
    return node.source().begin.line;
}

/// Reads the values of a table into the members of a @a Row.
template <typename Row>
class table_reader
{
  public:
    table_reader(const toml::table& table, std::string path, diagnostic_list& diagnostics)
        : m_table(table), m_path(std::move(path)), m_diagnostics(diagnostics)
    {
    }

    /// @return the row; members with invalid keys keep their default values
    [[nodiscard]] Row read(std::span<const key_spec<Row>> keys)
    {
        Row row;
        for (const auto& it : keys)
        {
            read_key(row, it);
        }
        report_unknown_keys(keys);
        return row;
    }

  private:
    void read_key(Row& row, const key_spec<Row>& key)
    {
        const toml::node* const node = m_table.get(key.key);
        if (node != nullptr)
        {
            const auto assign = [&](auto member) { read_value(row.*member, *node, key); };
            std::visit(assign, key.member);
        }
        else if (key.required)
        {
            report(m_table, key.key, "missing");
        }
    }

    void report_unknown_keys(std::span<const key_spec<Row>> keys)
    {
        for (const auto& [name, node] : m_table)
        {
            const std::string_view text = name.str();
            const bool root_section = std::is_same_v<Row, root_settings> && is_section(text);
            if (!root_section && std::ranges::find(keys, text, &key_spec<Row>::key) == keys.end())
            {
                report(node, text, "unknown key");
            }
        }
    }

    [[nodiscard]] static bool is_section(std::string_view text)
    {
        constexpr std::array<std::string_view, 6> sections{"entries",    "targets",  "services",
                                                           "workspaces", "platform", "limits"};
        return std::ranges::find(sections, text) != sections.end();
    }

    void read_value(std::string& out, const toml::node& node, const key_spec<Row>& key)
    {
        const auto text = node.value_exact<std::string>();
        if (!text)
        {
            report(node, key.key, "must be a string");
        }
        else if (const auto error = validate_text(key.format, *text))
        {
            report(node, key.key, *error);
        }
        else
        {
            out = *text;
        }
    }

    template <typename Tag>
    void read_value(strong_string<Tag>& out, const toml::node& node, const key_spec<Row>& key)
    {
        read_value(out.value, node, key);
    }

    void read_value(bool& out, const toml::node& node, const key_spec<Row>& key)
    {
        const auto value = node.value_exact<bool>();
        if (!value)
        {
            report(node, key.key, "must be true or false");
        }
        out = value.value_or(out);
    }

    template <typename Number>
        requires std::is_integral_v<Number>
    void read_value(Number& out, const toml::node& node, const key_spec<Row>& key)
    {
        if (const auto number = read_number(node, key))
        {
            out = static_cast<Number>(*number);
        }
    }

    void read_value(std::chrono::milliseconds& out, const toml::node& node, const key_spec<Row>& key)
    {
        if (const auto number = read_number(node, key))
        {
            out = std::chrono::milliseconds{*number};
        }
    }

    void read_value(call_kind& out, const toml::node& node, const key_spec<Row>& key)
    {
        const auto value = parse_call_kind(node.value_or(std::string_view{}));
        assign_choice(out, value, node, key, call_kind_names());
    }

    void read_value(service_class& out, const toml::node& node, const key_spec<Row>& key)
    {
        const auto value = parse_service_class(node.value_or(std::string_view{}));
        assign_choice(out, value, node, key, service_class_names());
    }

    template <typename Enum>
    void assign_choice(Enum& out, std::optional<Enum> value, const toml::node& node, const key_spec<Row>& key,
                       std::span<const std::string_view> names)
    {
        if (!value)
        {
            std::string message = "must be one of";
            for (const auto name : names)
            {
                message.append(" ").append(name);
            }
            report(node, key.key, message);
        }
        out = value.value_or(out);
    }

    [[nodiscard]] std::optional<std::int64_t> read_number(const toml::node& node, const key_spec<Row>& key)
    {
        const auto number = node.value_exact<std::int64_t>();
        if (!number)
        {
            report(node, key.key, "must be an integer");
            return std::nullopt;
        }
        if (*number < key.minimum || *number > key.maximum)
        {
            report(node, key.key,
                   "must be from " + std::to_string(key.minimum) + " to " + std::to_string(key.maximum));
            return std::nullopt;
        }
        return number;
    }

    void report(const toml::node& node, std::string_view key, std::string message)
    {
        m_diagnostics.add(line_of(node), m_path + std::string{key}, std::move(message));
    }

    const toml::table& m_table;
    std::string m_path;
    diagnostic_list& m_diagnostics;
};

} // namespace masticcourse::detail

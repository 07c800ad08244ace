#include "masticcourse/settings/settings.hpp"

#include "settings_checks.hpp"
#include "table_reader.hpp"
#include "tokens_file.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace masticcourse
{

namespace
{

using detail::diagnostic_list;
using detail::key_spec;

/// Reads the array of tables @a name and records the line number of each element.
template <typename Row>
std::vector<Row> read_array(const toml::table& root, std::string_view name,
                            std::span<const key_spec<Row>> keys, std::vector<std::uint32_t>& lines,
                            diagnostic_list& diagnostics)
{
    std::vector<Row> rows;
    const toml::node* const node = root.get(name);
    if (node == nullptr)
    {
        return rows;
    }
    const toml::array* const elements = node->as_array();
    if (elements == nullptr)
    {
        diagnostics.add(detail::line_of(*node), std::string{name}, "must be an array of tables");
        return rows;
    }
    for (const auto& it : *elements)
    {
        const std::string path = std::string{name} + "[" + std::to_string(rows.size()) + "]";
        const toml::table* const table = it.as_table();
        if (table == nullptr)
        {
            diagnostics.add(detail::line_of(it), path, "must be a table");
            continue;
        }
        rows.push_back(detail::table_reader<Row>{*table, path + ".", diagnostics}.read(keys));
        lines.push_back(detail::line_of(it));
    }
    return rows;
}

/// Reads the table @a name; a missing table is treated as empty.
template <typename Row>
Row read_table(const toml::table& root, std::string_view name, std::span<const key_spec<Row>> keys,
               diagnostic_list& diagnostics)
{
    const toml::node* const node = root.get(name);
    const std::string path = std::string{name} + ".";
    if (node == nullptr)
    {
        return detail::table_reader<Row>{toml::table{}, path, diagnostics}.read(keys);
    }
    const toml::table* const table = node->as_table();
    if (table == nullptr)
    {
        diagnostics.add(detail::line_of(*node), std::string{name}, "must be a table");
        return {};
    }
    return detail::table_reader<Row>{*table, path, diagnostics}.read(keys);
}

/// The content of the settings file before the tokens file is read and the parts are checked against each
/// other.
struct file_content
{
    deployment_settings settings;
    detail::settings_line_numbers lines;
    std::string tokens_file;
};

file_content read_content(const toml::table& root, diagnostic_list& diagnostics)
{
    file_content content;
    auto& settings = content.settings;
    const auto root_values =
        detail::table_reader<detail::root_settings>{root, "", diagnostics}.read(detail::root_keys);
    settings.customer = root_values.customer;
    settings.operator_token = root_values.operator_token;
    content.tokens_file = root_values.tokens_file;
    auto& lines = content.lines;
    settings.entries =
        read_array<entry_settings>(root, "entries", detail::entry_keys, lines.entries, diagnostics);
    settings.targets =
        read_array<target_settings>(root, "targets", detail::target_keys, lines.targets, diagnostics);
    settings.services =
        read_array<service_settings>(root, "services", detail::service_keys, lines.services, diagnostics);
    settings.workspaces = read_array<workspace_settings>(root, "workspaces", detail::workspace_keys,
                                                         lines.workspaces, diagnostics);
    settings.platform = read_table<platform_settings>(root, "platform", detail::platform_keys, diagnostics);
    settings.limits = read_table<limits_settings>(root, "limits", detail::limits_keys, diagnostics);
    if (const toml::node* const node = root.get("limits"))
    {
        lines.limits = detail::line_of(*node);
    }
    return content;
}

settings_result check_content(const toml::table& root, const std::string& file_name)
{
    diagnostic_list diagnostics{file_name};
    file_content content = read_content(root, diagnostics);
    std::vector<settings_diagnostic> token_diagnostics;
    if (!content.tokens_file.empty())
    {
        const auto path = std::filesystem::path{file_name}.parent_path() / content.tokens_file;
        detail::read_tokens_file(path.string(), content.settings, token_diagnostics);
    }
    detail::check_settings(content.settings, content.lines, diagnostics);
    std::ranges::stable_sort(diagnostics.diagnostics(), {}, &settings_diagnostic::line);
    std::ranges::move(token_diagnostics, std::back_inserter(diagnostics.diagnostics()));
    if (!diagnostics.diagnostics().empty())
    {
        return std::move(diagnostics.diagnostics());
    }
    return std::move(content.settings);
}

template <typename Settings, typename Rows, typename Name>
auto find_by_name(const Rows& rows, const Name& name) -> const Settings*
{
    const auto it = std::ranges::find(rows, name, &Settings::name);
    return it != rows.end() ? &*it : nullptr;
}

} // namespace

settings_result parse_settings(const std::string& text, const std::string& file_name)
{
    try
    {
        return check_content(toml::parse(text, file_name), file_name);
    }
    catch (const toml::parse_error& error)
    {
        const settings_diagnostic diagnostic{file_name, error.source().begin.line, "",
                                             std::string{error.description()}};
        return std::vector{diagnostic};
    }
}

settings_result read_settings(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return std::vector{settings_diagnostic{path, 0, "", "cannot be read"}};
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return parse_settings(text, path);
}

std::string to_string(const settings_diagnostic& diagnostic)
{
    std::string text = diagnostic.file;
    if (diagnostic.line != 0)
    {
        text += ":" + std::to_string(diagnostic.line);
    }
    if (!diagnostic.key.empty())
    {
        text += ": " + diagnostic.key;
    }
    return text + ": " + diagnostic.message;
}

const entry_settings* find_entry(const deployment_settings& settings, const process_name& name)
{
    return find_by_name<entry_settings>(settings.entries, name);
}

const target_settings* find_target(const deployment_settings& settings, const process_name& name)
{
    return find_by_name<target_settings>(settings.targets, name);
}

} // namespace masticcourse

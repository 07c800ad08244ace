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

using detail::fault_list;
using detail::key_row;

/// Reads the array of tables @a name; notes the line of each element.
template <typename Row>
std::vector<Row> read_array(const toml::table& root, std::string_view name,
                            std::span<const key_row<Row>> keys, std::vector<std::uint32_t>& lines,
                            fault_list& faults)
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
        faults.add(detail::line_of(*node), std::string{name}, "must be an array of tables");
        return rows;
    }
    for (const auto& it : *elements)
    {
        const std::string path = std::string{name} + "[" + std::to_string(rows.size()) + "]";
        const toml::table* const table = it.as_table();
        if (table == nullptr)
        {
            faults.add(detail::line_of(it), path, "must be a table");
            continue;
        }
        rows.push_back(detail::table_reader<Row>{*table, path + ".", faults}.read(keys));
        lines.push_back(detail::line_of(it));
    }
    return rows;
}

/// Reads the table @a name; one that is missing counts as empty.
template <typename Row>
Row read_table(const toml::table& root, std::string_view name, std::span<const key_row<Row>> keys,
               fault_list& faults)
{
    const toml::node* const node = root.get(name);
    const std::string path = std::string{name} + ".";
    if (node == nullptr)
    {
        return detail::table_reader<Row>{toml::table{}, path, faults}.read(keys);
    }
    const toml::table* const table = node->as_table();
    if (table == nullptr)
    {
        faults.add(detail::line_of(*node), std::string{name}, "must be a table");
        return {};
    }
    return detail::table_reader<Row>{*table, path, faults}.read(keys);
}

/// The file's own faults, before the tokens file and the checks between parts.
struct file_content
{
    deployment_settings settings;
    detail::settings_lines lines;
    std::string tokens_file;
};

file_content read_content(const toml::table& root, fault_list& faults)
{
    file_content content;
    auto& settings = content.settings;
    const auto top = detail::table_reader<detail::root_settings>{root, "", faults}.read(detail::root_keys);
    settings.customer = top.customer;
    settings.operator_token = top.operator_token;
    content.tokens_file = top.tokens_file;
    auto& lines = content.lines;
    settings.entries = read_array<entry_settings>(root, "entries", detail::entry_keys, lines.entries, faults);
    settings.targets =
        read_array<target_settings>(root, "targets", detail::target_keys, lines.targets, faults);
    settings.services =
        read_array<service_settings>(root, "services", detail::service_keys, lines.services, faults);
    settings.workspaces =
        read_array<workspace_settings>(root, "workspaces", detail::workspace_keys, lines.workspaces, faults);
    settings.platform = read_table<platform_settings>(root, "platform", detail::platform_keys, faults);
    settings.limits = read_table<limits_settings>(root, "limits", detail::limits_keys, faults);
    if (const toml::node* const node = root.get("limits"))
    {
        lines.limits = detail::line_of(*node);
    }
    return content;
}

settings_result check_content(const toml::table& root, const std::string& file_name)
{
    fault_list faults{file_name};
    file_content content = read_content(root, faults);
    std::vector<settings_fault> token_faults;
    if (!content.tokens_file.empty())
    {
        const auto path = std::filesystem::path{file_name}.parent_path() / content.tokens_file;
        detail::read_tokens(path.string(), content.settings, token_faults);
    }
    detail::check_settings(content.settings, content.lines, faults);
    std::ranges::stable_sort(faults.faults(), {}, &settings_fault::line);
    std::ranges::move(token_faults, std::back_inserter(faults.faults()));
    if (!faults.faults().empty())
    {
        return std::move(faults.faults());
    }
    return std::move(content.settings);
}

template <typename Settings, typename Rows, typename Name>
auto find_named(const Rows& rows, const Name& name) -> const Settings*
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
        const settings_fault fault{file_name, error.source().begin.line, "",
                                   std::string{error.description()}};
        return std::vector{fault};
    }
}

settings_result read_settings(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return std::vector{settings_fault{path, 0, "", "can't be read"}};
    }
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    return parse_settings(text, path);
}

std::string to_string(const settings_fault& fault)
{
    std::string text = fault.file;
    if (fault.line != 0)
    {
        text += ":" + std::to_string(fault.line);
    }
    if (!fault.key.empty())
    {
        text += ": " + fault.key;
    }
    return text + ": " + fault.message;
}

const entry_settings* find_entry(const deployment_settings& settings, const process_name& name)
{
    return find_named<entry_settings>(settings.entries, name);
}

const target_settings* find_target(const deployment_settings& settings, const process_name& name)
{
    return find_named<target_settings>(settings.targets, name);
}

} // namespace masticcourse

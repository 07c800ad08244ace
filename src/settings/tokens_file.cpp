#include "tokens_file.hpp"

namespace masticcourse::detail
{

namespace
{

std::string read_token(const toml::node& node, const std::string& key, fault_list& faults)
{
    auto token = node.value_exact<std::string>();
    if (!token || text_fault(text_format::secret, *token))
    {
        faults.add(line_of(node), key, "must be a text of 16 to 256 visible characters");
        return {};
    }
    return std::move(*token);
}

void read_workspace_tokens(const toml::table& table, deployment_settings& settings, fault_list& faults)
{
    for (const auto& [name, node] : table)
    {
        const workspace_id id{std::string{name.str()}};
        const std::string key = "workspaces." + id.value;
        const auto it = std::ranges::find(settings.workspaces, id, &workspace_settings::id);
        if (it == settings.workspaces.end())
        {
            faults.add(line_of(node), key, "no such workspace");
            continue;
        }
        it->token = read_token(node, key, faults);
    }
}

void read_token_table(const toml::table& table, deployment_settings& settings, fault_list& faults)
{
    for (const auto& [name, node] : table)
    {
        if (name.str() == "operator")
        {
            settings.operator_token = read_token(node, "operator", faults);
        }
        else if (name.str() == "workspaces" && node.is_table())
        {
            read_workspace_tokens(*node.as_table(), settings, faults);
        }
        else
        {
            faults.add(line_of(node), std::string{name.str()}, "unknown key");
        }
    }
}

} // namespace

void read_tokens(const std::string& path, deployment_settings& settings, std::vector<settings_fault>& faults)
{
    fault_list found{path};
    try
    {
        read_token_table(toml::parse_file(path), settings, found);
    }
    catch (const toml::parse_error& error)
    {
        found.add(error.source().begin.line, "", std::string{error.description()});
    }
    std::ranges::move(found.faults(), std::back_inserter(faults));
}

} // namespace masticcourse::detail

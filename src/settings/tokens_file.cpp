#include "tokens_file.hpp"

namespace masticcourse::detail
{

namespace
{

std::string read_token(const toml::node& node, const std::string& key, diagnostic_list& diagnostics)
{
    auto token = node.value_exact<std::string>();
    if (!token || validate_text(text_format::secret, *token))
    {
        diagnostics.add(line_of(node), key, "must be a string of 16 to 256 visible characters");
        return {};
    }
    return std::move(*token);
}

void read_workspace_tokens(const toml::table& table, deployment_settings& settings,
                           diagnostic_list& diagnostics)
{
    for (const auto& [name, node] : table)
    {
        const workspace_id id{std::string{name.str()}};
        const std::string key = "workspaces." + id.value;
        const auto it = std::ranges::find(settings.workspaces, id, &workspace_settings::id);
        if (it == settings.workspaces.end())
        {
            diagnostics.add(line_of(node), key, "no such workspace");
            continue;
        }
        it->token = read_token(node, key, diagnostics);
    }
}

void read_token_table(const toml::table& table, deployment_settings& settings, diagnostic_list& diagnostics)
{
    for (const auto& [name, node] : table)
    {
        if (name.str() == "operator")
        {
            settings.operator_token = read_token(node, "operator", diagnostics);
        }
        else if (name.str() == "workspaces" && node.is_table())
        {
            read_workspace_tokens(*node.as_table(), settings, diagnostics);
        }
        else
        {
            diagnostics.add(line_of(node), std::string{name.str()}, "unknown key");
        }
    }
}

} // namespace

void read_tokens_file(const std::string& path, deployment_settings& settings,
                      std::vector<settings_diagnostic>& diagnostics)
{
    diagnostic_list file_diagnostics{path};
    try
    {
        read_token_table(toml::parse_file(path), settings, file_diagnostics);
    }
    catch (const toml::parse_error& error)
    {
        file_diagnostics.add(error.source().begin.line, "", std::string{error.description()});
    }
    std::ranges::move(file_diagnostics.diagnostics(), std::back_inserter(diagnostics));
}

} // namespace masticcourse::detail

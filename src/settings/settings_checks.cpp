#include "settings_checks.hpp"

#include "masticcourse/settings/token.hpp"

#include <cstddef>
#include <map>

namespace masticcourse::detail
{

namespace
{

std::string element_path(std::string_view table, std::size_t n, std::string_view key)
{
    return std::string{table} + "[" + std::to_string(n) + "]." + std::string{key};
}

/// Reports duplicate values.
class duplicate_detector
{
  public:
    explicit duplicate_detector(diagnostic_list& diagnostics) : m_diagnostics(diagnostics) {}

    void add(const std::string& value, std::uint32_t line, const std::string& key)
    {
        if (value.empty())
        {
            return;
        }
        const auto [it, added] = m_first_keys.try_emplace(value, key);
        if (!added)
        {
            m_diagnostics.add(line, key, "duplicates " + it->second);
        }
    }

  private:
    diagnostic_list& m_diagnostics;
    std::map<std::string, std::string> m_first_keys;
};

void check_processes(const deployment_settings& settings, const settings_line_numbers& lines,
                     diagnostic_list& diagnostics)
{
    duplicate_detector names{diagnostics};
    duplicate_detector addresses{diagnostics};
    for (std::size_t n = 0; n < settings.entries.size(); ++n)
    {
        const auto& it = settings.entries[n];
        names.add(it.name.value, lines.entries[n], element_path("entries", n, "name"));
        addresses.add(it.http_address, lines.entries[n], element_path("entries", n, "http_address"));
        addresses.add(it.peer_address, lines.entries[n], element_path("entries", n, "peer_address"));
    }
    for (std::size_t n = 0; n < settings.targets.size(); ++n)
    {
        const auto& it = settings.targets[n];
        names.add(it.name.value, lines.targets[n], element_path("targets", n, "name"));
        addresses.add(it.http_address, lines.targets[n], element_path("targets", n, "http_address"));
        addresses.add(it.peer_address, lines.targets[n], element_path("targets", n, "peer_address"));
        addresses.add(it.backend_address, lines.targets[n], element_path("targets", n, "backend_address"));
    }
}

void check_services(const deployment_settings& settings, const settings_line_numbers& lines,
                    diagnostic_list& diagnostics)
{
    duplicate_detector names{diagnostics};
    for (std::size_t n = 0; n < settings.services.size(); ++n)
    {
        const auto& name = settings.services[n].name;
        names.add(name.value, lines.services[n], element_path("services", n, "name"));
        if (std::ranges::find(settings.targets, name, &target_settings::service) == settings.targets.end())
        {
            diagnostics.add(lines.services[n], element_path("services", n, "name"),
                            "no target offers this service");
        }
    }
    for (std::size_t n = 0; n < settings.targets.size(); ++n)
    {
        const auto& name = settings.targets[n].service;
        if (std::ranges::find(settings.services, name, &service_settings::name) == settings.services.end())
        {
            diagnostics.add(lines.targets[n], element_path("targets", n, "service"), "no such service");
        }
    }
}

void check_workspaces(const deployment_settings& settings, const settings_line_numbers& lines,
                      diagnostic_list& diagnostics)
{
    duplicate_detector ids{diagnostics};
    duplicate_detector tokens{diagnostics};
    tokens.add(settings.operator_token, 0, "operator_token");
    for (std::size_t n = 0; n < settings.workspaces.size(); ++n)
    {
        const auto& it = settings.workspaces[n];
        ids.add(it.id.value, lines.workspaces[n], element_path("workspaces", n, "id"));
        tokens.add(it.token, lines.workspaces[n], element_path("workspaces", n, "token"));
        if (it.token.empty())
        {
            diagnostics.add(lines.workspaces[n], element_path("workspaces", n, "token"), "missing");
        }
    }
    if (settings.operator_token.empty())
    {
        diagnostics.add(0, "operator_token", "missing");
    }
}

void check_limits(const limits_settings& limits, std::uint32_t line, diagnostic_list& diagnostics)
{
    if (limits.peer_timeout <= limits.heartbeat_period)
    {
        diagnostics.add(line, "limits.peer_timeout_ms", "must be longer than limits.heartbeat_period_ms");
    }
    if (limits.lease <= limits.peer_timeout)
    {
        diagnostics.add(line, "limits.lease_ms", "must be longer than limits.peer_timeout_ms");
    }
}

} // namespace

void check_settings(const deployment_settings& settings, const settings_line_numbers& lines,
                    diagnostic_list& diagnostics)
{
    if (settings.entries.empty())
    {
        diagnostics.add(0, "entries", "missing");
    }
    check_processes(settings, lines, diagnostics);
    check_services(settings, lines, diagnostics);
    check_workspaces(settings, lines, diagnostics);
    check_limits(settings.limits, lines.limits, diagnostics);
}

} // namespace masticcourse::detail

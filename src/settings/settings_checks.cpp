#include "settings_checks.hpp"

#include "masticcourse/settings/token.hpp"

#include <cstddef>
#include <map>

namespace masticcourse::detail
{

namespace
{

std::string element_key(std::string_view table, std::size_t n, std::string_view key)
{
    return std::string{table} + "[" + std::to_string(n) + "]." + std::string{key};
}

/// Notes values that stand twice.
class unique_values
{
  public:
    explicit unique_values(fault_list& faults) : m_faults(faults) {}

    void add(const std::string& value, std::uint32_t line, const std::string& key)
    {
        if (value.empty())
        {
            return;
        }
        const auto [it, added] = m_first.try_emplace(value, key);
        if (!added)
        {
            m_faults.add(line, key, "the same as " + it->second);
        }
    }

  private:
    fault_list& m_faults;
    std::map<std::string, std::string> m_first;
};

void check_processes(const deployment_settings& settings, const settings_lines& lines, fault_list& faults)
{
    unique_values names{faults};
    unique_values addresses{faults};
    for (std::size_t n = 0; n < settings.entries.size(); ++n)
    {
        const auto& it = settings.entries[n];
        names.add(it.name.value, lines.entries[n], element_key("entries", n, "name"));
        addresses.add(it.http_address, lines.entries[n], element_key("entries", n, "http_address"));
        addresses.add(it.peer_address, lines.entries[n], element_key("entries", n, "peer_address"));
    }
    for (std::size_t n = 0; n < settings.targets.size(); ++n)
    {
        const auto& it = settings.targets[n];
        names.add(it.name.value, lines.targets[n], element_key("targets", n, "name"));
        addresses.add(it.http_address, lines.targets[n], element_key("targets", n, "http_address"));
        addresses.add(it.peer_address, lines.targets[n], element_key("targets", n, "peer_address"));
        addresses.add(it.backend_address, lines.targets[n], element_key("targets", n, "backend_address"));
    }
}

void check_services(const deployment_settings& settings, const settings_lines& lines, fault_list& faults)
{
    unique_values names{faults};
    for (std::size_t n = 0; n < settings.services.size(); ++n)
    {
        const auto& name = settings.services[n].name;
        names.add(name.value, lines.services[n], element_key("services", n, "name"));
        if (std::ranges::find(settings.targets, name, &target_settings::service) == settings.targets.end())
        {
            faults.add(lines.services[n], element_key("services", n, "name"),
                       "no target offers this service");
        }
    }
    for (std::size_t n = 0; n < settings.targets.size(); ++n)
    {
        const auto& name = settings.targets[n].service;
        if (std::ranges::find(settings.services, name, &service_settings::name) == settings.services.end())
        {
            faults.add(lines.targets[n], element_key("targets", n, "service"), "no such service");
        }
    }
}

void check_workspaces(const deployment_settings& settings, const settings_lines& lines, fault_list& faults)
{
    unique_values ids{faults};
    unique_values tokens{faults};
    tokens.add(settings.operator_token, 0, "operator_token");
    for (std::size_t n = 0; n < settings.workspaces.size(); ++n)
    {
        const auto& it = settings.workspaces[n];
        ids.add(it.id.value, lines.workspaces[n], element_key("workspaces", n, "id"));
        tokens.add(it.token, lines.workspaces[n], element_key("workspaces", n, "token"));
        if (it.token.empty())
        {
            faults.add(lines.workspaces[n], element_key("workspaces", n, "token"), "missing");
        }
    }
    if (settings.operator_token.empty())
    {
        faults.add(0, "operator_token", "missing");
    }
}

void check_limits(const limits_settings& limits, std::uint32_t line, fault_list& faults)
{
    if (limits.peer_timeout <= limits.heartbeat_period)
    {
        faults.add(line, "limits.peer_timeout_ms", "must be longer than limits.heartbeat_period_ms");
    }
    if (limits.lease <= limits.peer_timeout)
    {
        faults.add(line, "limits.lease_ms", "must be longer than limits.peer_timeout_ms");
    }
}

} // namespace

void check_settings(const deployment_settings& settings, const settings_lines& lines, fault_list& faults)
{
    if (settings.entries.empty())
    {
        faults.add(0, "entries", "missing");
    }
    check_processes(settings, lines, faults);
    check_services(settings, lines, faults);
    check_workspaces(settings, lines, faults);
    check_limits(settings.limits, lines.limits, faults);
}

} // namespace masticcourse::detail

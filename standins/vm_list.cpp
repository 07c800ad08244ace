#include "vm_list.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace masticcourse::standins
{

NLOHMANN_JSON_SERIALIZE_ENUM(vm_state, {{vm_state::live, "live"}, {vm_state::leaving, "leaving"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_entry, name, role, address, service, failure_domain, state)

std::string vms_to_json(const std::vector<vm_entry>& vms)
{
    return nlohmann::json(vms).dump();
}

std::vector<vm_entry> vms_from_json(const std::string& text)
{
    try
    {
        return nlohmann::json::parse(text).get<std::vector<vm_entry>>();
    }
    catch (const nlohmann::json::exception& error)
    {
        throw std::invalid_argument(error.what());
    }
}

vm_list::vm_list(core_duration lag) : m_lag(lag) {}

void vm_list::replace(std::vector<vm_entry> vms, core_time now)
{
    m_pending.push_back({now + m_lag, std::move(vms)});
}

const std::vector<vm_entry>& vm_list::shown(core_time now)
{
    while (!m_pending.empty() && m_pending.front().since <= now)
    {
        m_shown = std::move(m_pending.front().vms);
        m_pending.pop_front();
    }
    return m_shown;
}

} // namespace masticcourse::standins

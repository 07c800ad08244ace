#include "masticcourse/gateway/row_fault_log.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Whoever writes rows that can't be read may write many: what is remembered of them is bounded.
constexpr std::size_t most_noted = 1'000;

} // namespace

void row_fault_log::note(const row_name& name, row_version version, const std::string& why)
{
    if (std::exchange(m_noted[name], version) == version)
    {
        return;
    }
    log_event(
        event_id::config_invalid,
        {{"table", name.table}, {"key", name.key}, {"row_version", std::to_string(version)}, {"why", why}});
    if (m_noted.size() > most_noted)
    {
        m_noted.clear();
    }
}

void row_fault_log::forget(const row_name& name)
{
    m_noted.erase(name);
}

} // namespace masticcourse::gateway

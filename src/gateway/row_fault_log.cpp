#include "masticcourse/gateway/row_fault_log.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Maximum number of rows tracked: a faulty writer may write many invalid rows. Beyond it, all are forgotten
/// and may be logged again.
constexpr std::size_t max_reported = 1'000;

} // namespace

void row_fault_log::report(const row_name& name, row_version version, const std::string& why)
{
    if (std::exchange(m_reported[name], version) == version)
    {
        return;
    }
    log_event(
        event_id::config_invalid,
        {{"table", name.table}, {"key", name.key}, {"row_version", std::to_string(version)}, {"why", why}});
    if (m_reported.size() > max_reported)
    {
        m_reported.clear();
    }
}

void row_fault_log::clear(const row_name& name)
{
    m_reported.erase(name);
}

} // namespace masticcourse::gateway

// The rows that a gateway follows: the configuration and the targets.
#include "gateway_state.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <algorithm>

namespace masticcourse::gateway
{

namespace
{

/// How long a registry entry that vanished around a store outage may take to reappear before its target is
/// removed.
constexpr milliseconds vanished_entry_grace{2'000};

} // namespace

milliseconds gateway::state::removal_grace() const
{
    // Measured from the store's return, not from when the entry vanished: an entry that vanishes later than
    // that was deregistered, and requests still sent to it would arrive after it has stopped serving.
    const auto since_return = std::chrono::floor<milliseconds>(target_rows.time_since_failure());
    return std::max(milliseconds{0}, vanished_entry_grace - since_return);
}

void gateway::state::apply_config_row(const stored_row& row)
{
    if (row.removed)
    {
        return;
    }
    auto decoded = decoders.decode_config(row);
    if (!decoded)
    {
        return;
    }
    if (const auto* const fault = std::get_if<row_decode_error>(&*decoded))
    {
        // The current configuration stays in force.
        row_faults.report(row.name, row.version, fault->message);
        return;
    }
    if (!config.adopt(std::get<gateway_config>(std::move(*decoded))))
    {
        return;
    }
    quotas.set_config(config.current());
    scheduler.set_config(config.current());
    frontend->set_limits(frontend_limits());
    log_event(event_id::config_applied, {{"version", std::to_string(config.current()->version)},
                                         {"row_version", std::to_string(row.version)},
                                         {"routes", std::to_string(config.current()->routes.size())}});
}

void gateway::state::apply_target_row(const stored_row& row)
{
    const auto now = monotonic_now();
    if (row.removed)
    {
        if (targets.remove({row.name.key}, now, removal_grace()))
        {
            log_event(event_id::target_lost,
                      {{"target", row.name.key}, {"grace_ms", std::to_string(removal_grace().count())}});
        }
        sweep();
        return;
    }
    put_target(row);
}

bool gateway::state::put_target(const stored_row& row)
{
    const auto decoded = decoders.decode_target(row);
    if (const auto* const fault = std::get_if<row_decode_error>(&decoded))
    {
        row_faults.report(row.name, row.version, fault->message);
        targets.withdraw({row.name.key});
        return false;
    }
    row_faults.clear(row.name);
    const auto& record = std::get<target_record>(decoded);
    if (targets.put(record))
    {
        log_event(event_id::target_available,
                  {{"target", record.id.value},
                   {"started_ms", std::to_string(record.started.time_since_epoch().count())},
                   {"service", record.service.value},
                   {"address", record.address},
                   {"draining", record.draining ? "yes" : "no"},
                   {"row_version", std::to_string(row.version)}});
    }
    return true;
}

void gateway::state::apply_target_snapshot(const std::vector<stored_row>& rows)
{
    std::vector<target_id> present;
    for (const auto& it : rows)
    {
        if (put_target(it))
        {
            present.push_back({it.name.key});
        }
    }
    targets.retain(present, monotonic_now(), removal_grace());
    log_event(event_id::registry_read, {{"targets", std::to_string(present.size())}});
}
} // namespace masticcourse::gateway

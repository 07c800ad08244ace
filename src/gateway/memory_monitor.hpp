/// @file
/// Keeps the capacity of the account of memory in line with the resident size of the process, and the caches
/// within what is left.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/gateway.hpp"
#include "masticcourse/gateway/time.hpp"
#include "masticcourse/gateway/turn_store.hpp"
#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/memory/process_memory.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace masticcourse::gateway
{

class memory_monitor
{
  public:
    /// The references must outlive the monitor.
    memory_monitor(const gateway_options& options, turn_store& turns, commit_queue& rows,
                   metrics_registry& metrics);

    /// Looks at the resident size, evicts from the caches, and sets the capacity.
    void update(time_point now);

  private:
    void limit_caches();
    [[nodiscard]] memory_state look() const;
    void report(const memory_state& state) const;

    const gateway_options& m_options;
    turn_store& m_turns;
    commit_queue& m_rows;
    memory_lease m_caches;
    std::optional<time_point> m_last_trim;
    gauge& m_capacity;
    gauge& m_resident;
    gauge& m_unaccounted;
    std::array<gauge*, memory_use_count> m_held{};
};

} // namespace masticcourse::gateway

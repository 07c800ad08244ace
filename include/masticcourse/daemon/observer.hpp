/// @file
/// What a process shows of itself: log, time line, metrics.
#pragma once

#include "masticcourse/control/peer_io.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/telemetry/hlc.hpp"
#include "masticcourse/telemetry/metrics.hpp"
#include "masticcourse/telemetry/timeline.hpp"

#include <memory>
#include <string>

namespace masticcourse
{

/// Takes the events of a process and answers `/healthz`, `/metrics` and `/v1/timeline`. Thread-safe.
class observer
{
  public:
    explicit observer(const process_name& process);

    /// Writes an event to the log and the time line, and counts it.
    void record(const trace_event& event);

    /// @return whether the path was one of the observer's, and has been answered
    bool answer(const http_request& request, http_exchange& exchange) const;

    [[nodiscard]] hybrid_clock& clock();
    [[nodiscard]] metrics_registry& metrics();

  private:
    hybrid_clock m_clock;
    timeline m_timeline;
    metrics_registry m_metrics;
};

} // namespace masticcourse

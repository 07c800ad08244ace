/// @file
/// Ejection of targets that fail, or take far longer than their peers.
///
/// Load pattern: a few targets fail part of their requests, hang, or go down and up by turns while their
/// health check and registry entry are good. Each gateway would burn requests of its own to learn it.
#pragma once

#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticcourse::gateway
{

enum class ejection_reason : std::uint8_t
{
    failures,
    latency,
};

/// A change of a target's state, for logs.
struct ejection_change
{
    target_id target;
    bool ejected = false;
    ejection_reason reason = ejection_reason::failures;
    /// How long the target is ejected.
    milliseconds period{};
};

/// Outcomes at one target within one interval, of this gateway or of all.
struct target_outcomes
{
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
};

/// Outlier detection over the targets of one service.
class outlier_detection
{
  public:
    /// Records outcomes of requests, of this gateway or of others. Refusals because of load are not counted.
    void record(const target_instance& target, const target_outcomes& outcomes, time_point now);

    /// Evaluates the targets; called at intervals.
    /// @param targets      the usable targets of the service
    /// @param time_factors duration of work relative to a typical target, in the order of @a targets
    std::vector<ejection_change> evaluate(const std::vector<const target*>& targets,
                                          const std::vector<double>& time_factors, time_point now);

    /// @return whether requests avoid the target
    [[nodiscard]] bool ejected(const target_instance& target, time_point now) const;
    /// @return whether one request that may be repeated should be sent to an ejected target to see whether it
    /// works again; true for one request at a time
    [[nodiscard]] bool wants_probe(const target_instance& target, time_point now);
};

} // namespace masticcourse::gateway

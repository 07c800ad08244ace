/// @file
/// The gateway's side of the exchange of load: sends its state to the collector at intervals and keeps the
/// collector's reply as its view of the other gateways.
///
/// Load pattern: many gateways share a few dozen targets. Each sees a target only in the responses to its own
/// few requests, seconds apart, so all of them send to targets that the others have filled meanwhile.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/scheduling/load_collector.hpp"
#include "masticcourse/gateway/scheduling/load_messages.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <functional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Other gateways' use of one target, as of the last reply of the collector.
struct external_usage
{
    std::uint32_t in_flight = 0;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    std::optional<target_load_report> report;
    /// When the report was made, by this gateway's clock.
    time_point reported_at{};
};

/// Supplies this gateway's current state for a digest.
struct local_usage
{
    std::vector<target_usage> targets;
    std::vector<service_demand> demand;
};

class load_exchange
{
  public:
    struct dependencies
    {
        peer_directory& peers;
        /// Sends a digest to the collector at an address.
        peer_call send;
        delay_function delay;
        clock_function clock;
        /// Called once for each digest.
        std::function<local_usage()> local;
        /// Called after each reply.
        std::function<void()> on_update;
        /// Address of this gateway.
        std::string self;
        std::string incarnation;
        metrics_registry& metrics;
    };

    explicit load_exchange(dependencies services);

    /// Switches the periodic exchange on or off. It starts off and then sends nothing.
    void set_enabled(bool enabled);

    /// Handles a digest of another gateway.
    /// @return the encoded summary; nothing if the digest is malformed
    [[nodiscard]] std::optional<std::string> serve(const std::string& bytes);

    /// @return whether the view is recent enough to be used
    [[nodiscard]] bool fresh(time_point now) const;
    /// @return the age of the view; the maximum if there is none
    [[nodiscard]] duration age(time_point now) const;
    /// @return other gateways' use of a target; null if they don't use it or the view is out of date
    [[nodiscard]] const external_usage* find(const target_instance& target, time_point now) const;
    /// @return the number of requests that other gateways hold back for a service
    [[nodiscard]] std::uint32_t others_waiting(const service_name& service, time_point now) const;
    /// @return the number of gateways in the view, including this one; at least 1
    [[nodiscard]] std::uint32_t gateways(time_point now) const;
};

} // namespace masticcourse::gateway

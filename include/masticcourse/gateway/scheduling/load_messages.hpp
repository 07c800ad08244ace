/// @file
/// Messages by which gateways share the load of targets.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// A load report of a target and its age. Clocks of different gateways are never compared.
struct aged_load_report
{
    target_load_report load;
    milliseconds age{};

    friend bool operator==(const aged_load_report&, const aged_load_report&) = default;
};

/// What one gateway knows of one target.
struct target_usage
{
    target_instance target;
    /// The gateway's own requests in flight.
    std::uint32_t in_flight = 0;
    /// Responses and failures since the last digest, for outlier ejection.
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    std::optional<aged_load_report> report;

    friend bool operator==(const target_usage&, const target_usage&) = default;
};

/// Requests that a gateway holds back.
struct service_demand
{
    service_name service;
    std::uint32_t waiting = 0;

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

/// One gateway's state, sent to the collector. Contains the targets whose usage changed since the last digest
/// that the collector has confirmed, or all targets in use if `complete` is set.
struct load_digest
{
    /// Address of the sender.
    std::string sender;
    /// Distinguishes the runs of a sender.
    std::string incarnation;
    std::uint64_t sequence = 0;
    bool complete = false;
    std::vector<target_usage> targets;
    std::vector<service_demand> demand;

    friend bool operator==(const load_digest&, const load_digest&) = default;
};

/// The collector's reply: the state of all gateways but the receiver.
struct load_summary
{
    /// Distinguishes the runs of the collector; a new one needs a complete digest.
    std::string collector_incarnation;
    /// Number of gateways heard within the lifetime of a digest, including the receiver.
    std::uint32_t gateways = 0;
    /// The digest was not applied because it builds on one that the collector does not have.
    bool needs_complete = false;
    /// Sums over the other gateways, with the newest report. Targets without an entry are not in use by them.
    std::vector<target_usage> targets;
    std::vector<service_demand> demand;

    friend bool operator==(const load_summary&, const load_summary&) = default;
};

/// @name Wire format between gateways: CBOR arrays with a fixed order of elements
/// @{
[[nodiscard]] std::string encode(const load_digest& digest);
[[nodiscard]] std::string encode(const load_summary& summary);
/// @return nothing if @a bytes is not a valid message
[[nodiscard]] std::optional<load_digest> decode_load_digest(const std::string& bytes);
[[nodiscard]] std::optional<load_summary> decode_load_summary(const std::string& bytes);
/// @}

} // namespace masticcourse::gateway

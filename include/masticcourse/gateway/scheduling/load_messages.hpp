/// @file
/// Messages by which gateways share the load of targets.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/target_table.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Maximum number of targets in one message.
inline constexpr std::size_t max_load_targets = 10'000;
/// Maximum number of services in one message.
inline constexpr std::size_t max_load_services = 1'000;
/// Reports that are older are not passed on.
inline constexpr milliseconds load_report_lifetime{1'000};

/// Hash of a target instance for unordered containers.
struct target_instance_hash
{
    [[nodiscard]] std::size_t operator()(const target_instance& it) const noexcept
    {
        constexpr std::size_t multiplier = 0x9E3779B97F4A7C15;
        return std::hash<target_id>{}(it.id) ^
               (static_cast<std::size_t>(it.started.time_since_epoch().count()) * multiplier);
    }
};

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
/// that the collector has replied to, or all targets in use if `complete` is set. The demand is always
/// complete.
struct load_digest
{
    /// Address of the sender.
    std::string sender;
    /// Distinguishes the runs of a sender.
    std::string incarnation;
    std::uint64_t sequence = 0;
    /// Version of the last summary that the sender has received from this collector; 0 if none.
    std::uint64_t received_version = 0;
    bool complete = false;
    std::vector<target_usage> targets;
    std::vector<service_demand> demand;

    friend bool operator==(const load_digest&, const load_digest&) = default;
};

/// The collector's reply: the state of all gateways but the receiver. Contains the targets that changed since
/// the version that the receiver has, or all targets in use if `complete` is set. The demand is always
/// complete.
struct load_summary
{
    /// Distinguishes the runs of the collector; a new one needs a complete digest.
    std::string collector_incarnation;
    /// Number of gateways heard within the lifetime of a digest, including the receiver.
    std::uint32_t gateways = 0;
    /// The digest was not applied because it builds on one that the collector does not have.
    bool needs_complete = false;
    /// Version of the collector's state, to be sent with the next digest.
    std::uint64_t version = 0;
    bool complete = false;
    /// Sums over the other gateways, with the newest report. A target that they no longer use has an entry
    /// with zero. Successes and failures are those that the receiver was not told of before.
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

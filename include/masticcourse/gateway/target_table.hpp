/// @file
/// The targets known to this process with their load and health, updated from the target registry, from the
/// load reports in responses and from the outcomes of this process's own requests.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// The id that a target is registered under. A restarted target keeps its id but none of its state.
using target_id = strong_string<struct gateway_target_id_tag>;

/// One instance of a target: the time from a start of its process to its end.
struct target_instance
{
    target_id id;
    /// Start time; the epoch if unknown.
    wall_time started{};

    friend bool operator==(const target_instance&, const target_instance&) = default;
};

/// The registry entry of a target, as the target wrote it.
struct target_record
{
    target_id id;
    /// Start time of this instance; the epoch if unknown.
    wall_time started{};
    service_name service;
    /// "ip:port"
    std::string address;
    failure_domain_name domain;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// Set if it accepts no new requests.
    bool draining = false;
    /// Remaining time in which it is slower than usual after its start.
    milliseconds warmup_remaining{0};

    [[nodiscard]] target_instance instance() const
    {
        return {id, started};
    }

    friend bool operator==(const target_record&, const target_record&) = default;
};

/// The load that a target reported in a response.
struct target_load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes at the target at this moment, relative to the usual time; nothing if the target
    /// does not report it.
    std::optional<double> time_factor;

    friend bool operator==(const target_load_report&, const target_load_report&) = default;
};

/// What the outcome of a request says about the health of its target.
enum class health_signal : std::uint8_t
{
    /// The target responded correctly.
    healthy,
    /// The target refused the request without executing it.
    refused,
    /// Another target, or another instance of the same one, responds at the address: this instance has ended.
    replaced,
    /// No connection could be opened.
    unreachable,
    /// The response was missing, truncated or malformed.
    failed,
    /// The request ended for reasons of the gateway or the caller; says nothing about the target.
    none,
};

/// One entry of the table.
struct target
{
    target_record record;
    /// This process's own requests in flight.
    std::uint32_t in_flight = 0;
    /// Requests of other gateways, as of the last load report.
    std::uint32_t external_load = 0;
    time_point reported_at{};
    /// Consecutive failures since the last correct response.
    std::uint32_t failures = 0;
    /// The target is used only if no other is left until this time.
    time_point backoff_until{};
    /// Set once its registry entry is missing: the target is forgotten at this time.
    std::optional<time_point> expires_at;
    /// Another instance responds at its address: it gets no requests until its registry entry changes.
    bool replaced = false;

    /// @return the estimated number of requests running or queued at the target
    [[nodiscard]] double load(time_point now) const;
    /// @return load() relative to the number of slots, that is in batches: 1 is one full batch
    [[nodiscard]] double utilization(time_point now) const;
};

class target_table
{
  public:
    /// @name Updates from the registry
    /// @{

    /// Adds or updates an entry. A later instance with the same id resets all state of the earlier one. An
    /// entry of an earlier instance than the known one is ignored.
    /// @return whether the record changed
    bool put(const target_record& record);

    /// Drops a target whose registry entry can't be parsed: the entry names no usable target, and the
    /// previous entry is no longer valid.
    /// @return whether the target was known
    bool withdraw(const target_id& id);

    /// Handles the removal of a registry entry: the target expires after @a grace, which is zero unless the
    /// entry may have lapsed although the target is still running.
    /// @return whether the target was known
    bool remove(const target_id& id, time_point now, milliseconds grace);

    /// Applies a snapshot of the registry that contains @a present: removes all other targets as remove()
    /// does.
    void retain(const std::vector<target_id>& present, time_point now, milliseconds grace);

    /// Extends the grace of all removed entries by @a time, during which the registry was unreachable. Only
    /// the time of the outage is added, so that a flapping connection does not keep targets that have left.
    void extend_grace(duration time);

    /// Erases the targets whose grace has expired.
    /// @return the erased targets
    std::vector<target_id> expire(time_point now);
    /// @}

    /// @name Requests of this process
    /// @{
    void begin(const target_instance& instance);
    /// Ignored if @a instance is not the current instance of the target.
    void end(const target_instance& instance, health_signal signal, time_point now);
    void report(const target_instance& instance, const target_load_report& load, time_point now);
    /// @}

    /// @return the targets of @a service that accept new requests, healthy or not, sorted by id
    [[nodiscard]] std::vector<const target*> candidates(const service_name& service) const;
    [[nodiscard]] const target* find(const target_id& id) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_targets.size();
    }

  private:
    /// @return the entry of the instance, or null if it is not the current one
    [[nodiscard]] target* find_instance(const target_instance& instance);

    [[nodiscard]] std::vector<const target*> find_candidates(const service_name& service) const;

    std::unordered_map<target_id, target> m_targets;
    /// Results of find_candidates(), until the table changes.
    mutable std::unordered_map<service_name, std::vector<const target*>> m_candidates;
};

} // namespace masticcourse::gateway

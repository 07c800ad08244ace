/// @file
/// The collector's side of the exchange of load: keeps the last state of each gateway and sums them.
#pragma once

#include "masticcourse/gateway/scheduling/load_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Sums the states of gateways. A target has a version for changes by each gateway, so that a summary
/// contains only what is new to its receiver. Sized for a few thousand gateways and a few
/// hundred targets.
class load_collector
{
  public:
    /// @param incarnation distinguishes this collector from others and from earlier runs
    /// @param lifetime    a gateway that sends nothing for this long no longer counts
    load_collector(std::string incarnation, milliseconds lifetime);

    /// Applies a gateway's digest.
    /// @return the state of the other gateways
    [[nodiscard]] load_summary exchange(const load_digest& digest, time_point now);

    /// Adjusts the lifetime to the interval at which gateways send digests.
    void set_lifetime(milliseconds lifetime);

    /// @return the number of gateways heard within the lifetime
    [[nodiscard]] std::size_t size() const
    {
        return m_gateways.size();
    }

    /// @return the number of targets with state
    [[nodiscard]] std::size_t target_count() const
    {
        return m_targets.size();
    }

  private:
    /// Identifies a run of a gateway.
    using gateway_number = std::uint64_t;
    using state_version = std::uint64_t;

    struct outcome_counts
    {
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;

        void add(std::uint32_t more_successes, std::uint32_t more_failures)
        {
            successes += more_successes;
            failures += more_failures;
        }

        friend outcome_counts operator-(const outcome_counts& a, const outcome_counts& b)
        {
            return {a.successes - b.successes, a.failures - b.failures};
        }
    };

    /// What one gateway contributes to one target, and what it was told of the others.
    struct contribution
    {
        std::uint32_t in_flight = 0;
        outcome_counts own;
        /// Outcomes at other gateways that it has received.
        outcome_counts received;
    };

    struct unconfirmed_outcomes
    {
        target_instance target;
        outcome_counts received;
    };

    struct gateway_state
    {
        gateway_number number = 0;
        std::string incarnation;
        std::uint64_t sequence = 0;
        time_point heard_at{};
        std::unordered_map<target_instance, contribution, target_instance_hash> targets;
        std::unordered_map<service_name, std::uint32_t> demand;
        /// Contents of the last summary, to be applied to the contributions if the gateway has received it.
        state_version summary_version = 0;
        std::vector<unconfirmed_outcomes> unconfirmed;
    };

    struct known_report
    {
        target_load_report load;
        time_point made_at{};
        gateway_number reporter = 0;
    };

    struct target_state
    {
        std::uint64_t in_flight = 0;
        outcome_counts outcomes;
        std::optional<known_report> report;
        /// The last change, the gateway that made it, and the last change by any other gateway.
        state_version changed = 0;
        gateway_number changed_by = 0;
        state_version changed_by_others = 0;
        time_point changed_at{};
    };

    void expire_gateways(time_point now);
    void expire_targets(time_point now);
    /// Erases what gateways contributed to a target and were told of it.
    void forget(const target_instance& target);
    /// @return the gateway's state; null if the digest can't be applied
    [[nodiscard]] gateway_state* find_or_add(const load_digest& digest, time_point now);
    void apply(gateway_state& sender, const load_digest& digest, time_point now);
    void apply(gateway_state& sender, const target_usage& usage, time_point now);
    void apply(gateway_state& sender, const std::vector<service_demand>& demand);
    /// @return whether the report is newer than the known one
    static bool apply(target_state& it, const aged_load_report& report, gateway_number reporter,
                      time_point now);
    /// Sets the requests in flight of a gateway to zero at all targets.
    void clear_usage(gateway_state& sender, time_point now);
    void clear_demand(gateway_state& sender);
    void touch(target_state& it, gateway_number by, time_point now);
    /// Records that the gateway has received the last summary.
    static void confirm_summary(gateway_state& receiver);
    /// @param receiver null if the gateway has no state here
    [[nodiscard]] load_summary summarize(gateway_state* receiver, state_version received,
                                         time_point now) const;
    [[nodiscard]] static target_usage usage_by_others(const target_instance& target, const target_state& it,
                                                      gateway_state* receiver, time_point now);
    [[nodiscard]] std::vector<service_demand> demand_of_others(const gateway_state* receiver) const;

    std::string m_incarnation;
    milliseconds m_lifetime;
    std::unordered_map<std::string, gateway_state> m_gateways;
    std::unordered_map<target_instance, target_state, target_instance_hash> m_targets;
    /// Requests held back at all gateways.
    std::unordered_map<service_name, std::uint64_t> m_demand;
    state_version m_version = 0;
    /// The last change of any target whose state was dropped. A gateway with an older version
    /// needs a complete summary.
    state_version m_dropped_version = 0;
    gateway_number m_last_number = 0;
    time_point m_next_expiry{};
    time_point m_next_target_expiry{};
};

} // namespace masticcourse::gateway

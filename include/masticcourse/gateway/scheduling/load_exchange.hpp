/// @file
/// The gateway's side of the exchange of load: sends its state to the collector at intervals and keeps the
/// collector's reply as its view of the other gateways.
///
/// Load pattern: many gateways share a few dozen targets. Each sees a target only in the responses to its own
/// few requests, seconds apart, so all of them send to targets that the others have filled meanwhile.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/scheduling/load_collector.hpp"
#include "masticcourse/gateway/scheduling/load_messages.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Other gateways' use of one target, as of the last reply of the collector.
struct external_usage
{
    std::uint32_t in_flight = 0;
    /// Responses and failures that the last reply added; each is in one reply only.
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

/// Periodic exchange of load with the collector, and the view that results from it.
class load_exchange
{
  public:
    /// What the exchange uses; references must outlive it.
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
        /// Seed of the jitter of the interval.
        random_seed seed;
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

  private:
    /// What the collector was told of a target.
    struct sent_usage
    {
        std::uint32_t in_flight = 0;
        std::optional<time_point> reported_at;
        /// Sequence of the last digest for which the target was in the local usage.
        std::uint64_t listed_in = 0;
    };

    struct outstanding_digest
    {
        std::string collector;
        std::uint64_t sequence = 0;
        time_point sent_at{};
    };

    struct load_metrics
    {
        counter& sent;
        counter& failed;
        counter& bytes;
        latency_histogram& view_age;
        gauge& gateways;
    };

    [[nodiscard]] milliseconds interval() const;
    [[nodiscard]] duration view_lifetime() const;
    [[nodiscard]] milliseconds random_part_of(milliseconds span);
    void reset();
    void schedule(milliseconds after);
    void tick();
    void send();
    /// Records which collector is used.
    void select(const std::string& collector);
    [[nodiscard]] load_digest make_digest(const std::string& collector, time_point now);
    /// @return the usages to be sent, which are recorded in m_sent
    [[nodiscard]] std::vector<target_usage> changed_usages(std::vector<target_usage> targets, bool complete,
                                                           time_point now);
    /// Removes the targets from m_sent that are not in the local usage and that the collector knows as
    /// unused.
    void forget_unused();
    void on_reply(const std::string& collector, std::uint64_t sequence,
                  const std::optional<std::string>& bytes);
    /// Handles the reply to a digest that has already counted as failed.
    void on_late_reply(const std::string& collector);
    void on_summary(const load_summary& summary);
    void on_failure(const char* why);
    void update_view(const load_summary& summary, time_point now);

    dependencies m_services;
    load_metrics m_metrics;
    std::minstd_rand m_random;
    load_collector m_collector;
    bool m_enabled = false;
    /// Timers of earlier runs are ignored.
    std::uint64_t m_run = 0;

    std::string m_selected;
    /// The collector that replied last. It knows the usages in m_sent unless m_needs_complete is set.
    std::string m_confirmed_by;
    /// A collector that was late and is used again; empty after it replied in time.
    std::string m_tolerated_late;
    std::uint64_t m_received_version = 0;
    bool m_needs_complete = true;
    std::uint64_t m_sequence = 0;
    std::optional<outstanding_digest> m_outstanding;
    std::optional<time_point> m_last_sent_at;
    std::unordered_map<target_instance, sent_usage, target_instance_hash> m_sent;

    std::optional<time_point> m_view_at;
    std::unordered_map<target_instance, external_usage, target_instance_hash> m_view;
    std::unordered_map<service_name, std::uint32_t> m_others_waiting;
    std::uint32_t m_gateways = 1;
};

} // namespace masticcourse::gateway

/// @file
/// Connects the scheduling decisions with request forwarding: which target a request is sent to, whether it
/// is sent now, held back or refused, and what the outcome says about the targets.
///
/// A service is scheduled if admission control is enabled, or if its targets report how long work takes
/// there. Admission control applies to services that run model engines. All other services are served without
/// any of this.
#pragma once

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/route_table.hpp"
#include "masticcourse/gateway/scheduling/admission_control.hpp"
#include "masticcourse/gateway/scheduling/load_exchange.hpp"
#include "masticcourse/gateway/scheduling/outlier_detection.hpp"
#include "masticcourse/gateway/scheduling/program_activity.hpp"
#include "masticcourse/gateway/scheduling/prompt_locations.hpp"
#include "masticcourse/gateway/scheduling/target_performance.hpp"
#include "masticcourse/gateway/scheduling/target_ranking.hpp"
#include "masticcourse/gateway/target_choice.hpp"
#include "masticcourse/telemetry/event.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticcourse::gateway
{

/// Settings of scheduling.
struct scheduling_options
{
    /// Whether requests to model engines are held back or refused while the engines are short of room.
    bool admission = false;

    friend bool operator==(const scheduling_options&, const scheduling_options&) = default;
};

/// A request and where it is to be sent.
struct scheduled_request
{
    const gateway_request& request;
    const route& matched_route;
    const service_name& service;
    /// When the caller gives up.
    time_point deadline{};
};

/// Identifies a request that is held back.
struct held_request
{
    service_name service;
    admission_ticket ticket = 0;
};

/// Receives the refusal of a request that was held back; nothing if it is to be sent now.
using admission_callback = std::function<void(const std::optional<not_admitted>&)>;

/// The immediate result of request_scheduler::admit().
using admission_result = std::variant<admitted, held_request, not_admitted>;

/// Scheduling of the requests of one gateway, with the state of each service.
class request_scheduler
{
  public:
    /// What the scheduler uses; references must outlive it.
    struct dependencies
    {
        scheduling_options options;
        const target_table& targets;
        peer_directory& peers;
        /// Sends a load digest to another gateway.
        peer_call send_digest;
        delay_function delay;
        clock_function clock;
        random_seed seed;
        /// Peer address of this gateway, and the id of its run.
        std::string self;
        std::string incarnation;
        metrics_registry& metrics;
    };

    explicit request_scheduler(dependencies services);

    /// Applies the services and workspaces of a configuration. Must be called before any request.
    void set_config(config_ptr config);

    /// Called at intervals of about 100 ms: evaluates the targets and releases requests that are held back.
    void sweep(time_point now);

    /// @name Decisions about a request
    /// @{

    /// @return whether choose() applies to the service
    [[nodiscard]] bool schedules(const service_name& service, time_point now) const;

    /// Chooses the target by expected finish.
    /// @param candidates sorted by id
    /// @return null if all candidates have been tried
    [[nodiscard]] const target* choose(const scheduled_request& request,
                                       std::span<const target* const> candidates,
                                       const selection_criteria& criteria, time_point now);

    /// Decides whether a request may be sent now.
    /// @param on_release called once if the request is held back, unless it is cancelled before
    [[nodiscard]] admission_result admit(const scheduled_request& request, admission_callback on_release);

    /// Withdraws a request that is held back.
    void cancel(const held_request& request);
    /// @}

    /// @name Outcomes
    /// @{
    /// Called for each attempt that is sent to a target.
    /// @param first_attempt false if the request was sent to another target before
    void on_sent(const scheduled_request& request, const target_instance& target, bool first_attempt);
    /// Called for each load report that a target sends with a response.
    void on_report(const service_name& service, const target_instance& target,
                   const target_load_report& report);
    /// Called when a stream has ended with success.
    /// @param output tokens generated in the attempt
    void on_stream_complete(const scheduled_request& request, const target_instance& target,
                            const stream_sample& sample, token_count output);
    /// Called when a response that is not a stream has ended with success.
    void on_response_complete(const scheduled_request& request, const target_instance& target,
                              duration response_time);
    /// Called for each attempt that ends, after the target table was updated.
    void on_attempt_ended(const service_name& service, const target_instance& target, health_signal signal);
    /// Called once for each admitted request, when it no longer uses a target.
    void on_request_ended(const service_name& service);
    /// @}

    /// Handles a load digest of another gateway.
    /// @return the encoded summary; nothing if the digest is malformed
    [[nodiscard]] std::optional<std::string> serve_digest(const std::string& bytes)
    {
        return m_exchange.serve(bytes);
    }

  private:
    /// Rate of events, averaged over about a second.
    class decaying_rate
    {
      public:
        void record(time_point now);
        [[nodiscard]] double per_second(time_point now) const;

      private:
        double m_per_second = 0;
        time_point m_updated{};
    };

    /// A request that is held back.
    struct held_entry
    {
        admission_callback on_release;
        time_point since{};
    };

    struct service_state
    {
        explicit service_state(random_seed seed) : outliers(seed) {}

        target_performance performance;
        outlier_detection outliers;
        std::optional<admission_control> admission;
        std::unordered_map<admission_ticket, held_entry> held;
        bool has_engines = false;
        /// Whether probes of ejected targets can be left to requests that may be repeated.
        bool has_repeatable_routes = false;
        /// Average output of a request, in tokens.
        double typical_output = 64;
        /// The room when it was last added up, and this gateway's changes since.
        std::optional<service_room> room;
        time_point room_updated{};
        /// Requests that this gateway sends to the service.
        decaying_rate sent;
    };

    /// The last load report of a target that this gateway received.
    struct received_report
    {
        target_instance target;
        target_load_report load;
        time_point received{};
    };

    /// Outcomes of this gateway's requests at a target that no digest has contained yet.
    struct unreported_outcomes
    {
        target_instance target;
        target_outcomes outcomes;
    };

    [[nodiscard]] service_state* find(const service_name& service);
    [[nodiscard]] const service_state* find(const service_name& service) const;
    [[nodiscard]] local_usage collect_usage();
    [[nodiscard]] target_usage usage_of(const target& it, time_point now) const;
    void apply_external_usage();
    void evaluate_outliers(const service_name& name, service_state& state, time_point now);
    /// @return requests running or waiting at the target, of all gateways
    [[nodiscard]] double load_of(const target& it, time_point now) const;
    /// @return the room, which may be some milliseconds old
    const service_room& recent_room(const service_name& name, service_state& state, time_point now) const;
    [[nodiscard]] std::vector<target_estimate> estimates_of(const scheduled_request& request,
                                                            std::span<const target* const> candidates,
                                                            const service_state& state, time_point now) const;
    /// @return the untried candidates that are neither in backoff nor ejected; all untried ones if there are
    /// no such
    [[nodiscard]] static std::vector<const target*>
    preferred_targets(std::span<const target* const> candidates, const selection_criteria& criteria,
                      const service_state& state, time_point now);
    [[nodiscard]] service_room room_of(const service_name& name, const service_state& state,
                                       time_point now) const;
    [[nodiscard]] static duration typical_duration(const service_profile& profile,
                                                   const service_state& state);
    [[nodiscard]] placement_costs costs_of(const service_state& state) const;
    [[nodiscard]] placement_request placement_of(const scheduled_request& request,
                                                 const service_state& state) const;
    [[nodiscard]] admission_request admission_of(const scheduled_request& request, const service_state& state,
                                                 time_point now) const;
    /// Sends requests that are held back while there is room, and refuses those that are too late.
    void release(const service_name& name, service_state& state, time_point now);
    void count_decision(const char* decision) const;
    /// Logs a decision with the room that it was based on.
    void log_room(event_id event, const scheduled_request& request, const service_room& room,
                  time_point now) const;
    void finish_held(service_state& state, admission_ticket ticket,
                     const std::optional<not_admitted>& refusal);

    dependencies m_services;
    config_ptr m_config;
    load_exchange m_exchange;
    std::unordered_map<service_name, service_state> m_states;
    program_activity m_programs;
    prompt_locations m_prompts;
    std::unordered_map<target_id, unreported_outcomes> m_unreported;
    std::unordered_map<target_id, received_report> m_reports;
    time_point m_next_evaluation{};
};

} // namespace masticcourse::gateway

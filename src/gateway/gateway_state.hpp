/// @file
/// The components of a gateway, and what connects them.
#pragma once

#include "memory_monitor.hpp"
#include "peer_calls.hpp"

#include "masticcourse/gateway/feed/followed_tables.hpp"
#include "masticcourse/gateway/gateway.hpp"
#include "masticcourse/gateway/peer_list.hpp"
#include "masticcourse/gateway/row_fault_log.hpp"
#include "masticcourse/gateway/scheduling/processor_admission.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

struct gateway::state
{
    state(event_loop& given_loop, gateway_options given_options, const gateway_protocol& request_protocol,
          row_store& table_store, peer_directory& directory, table_decoders row_decoders,
          metrics_registry& metrics);

    void start();
    void stop(std::function<void()> callback);
    void serve(http_request request, std::shared_ptr<http_exchange> exchange);
    /// Responds to a request that is not forwarded, and logs it with @a evidence.
    void refuse(const request_id& id, http_exchange& exchange, const refusal& given, event_field evidence);
    /// Refuses a request if there is no processor time for it.
    /// @return whether it was refused
    [[nodiscard]] bool refuse_busy(const gateway_request& request,
                                   const std::shared_ptr<http_exchange>& exchange);
    /// @return whether the request is the first turn of a program
    [[nodiscard]] bool starts_program(const gateway_request& request) const;
    /// Forwards a request whose tables have been made current as far as that is possible.
    void forward(gateway_request request, std::shared_ptr<http_exchange> exchange);
    void apply_config_row(const stored_row& row);
    void apply_target_row(const stored_row& row);
    void apply_target_snapshot(const std::vector<stored_row>& rows);
    /// @return whether the row holds a usable target
    bool put_target(const stored_row& row);
    /// Replies to a peer that follows a table through this gateway.
    void serve_feed(const std::string& bytes, const std::shared_ptr<http_exchange>& exchange);
    /// @return the limits for callers' connections, with those of the configuration if there is one
    [[nodiscard]] http_limits frontend_limits();
    /// @return the limits of the addresses for readiness and metrics
    [[nodiscard]] static http_limits observer_limits();
    /// The response to a request for which there was no memory when it came.
    [[nodiscard]] http_response refuse_without_memory();
    [[nodiscard]] milliseconds removal_grace() const;
    [[nodiscard]] bool ready() const;
    void sweep();
    void schedule_sweep();
    /// Records by how much the event loop is late.
    /// @param due when the timer that calls this was to expire
    void record_delay(time_point due);
    /// Logs it if requests are decided by the tables otherwise than before.
    void note_currency();
    void check_stopped();
    /// Answers all requests in progress, since the process ends.
    void end_requests();

    event_loop& loop;
    gateway_options options;
    const gateway_protocol& protocol;
    row_store& store;
    peer_directory& peers;
    random_seed seed;
    table_decoders decoders;
    metrics_registry& registry;
    delay_function delay;
    config_holder config;
    target_table targets;
    memory_shares shares;
    http_client client;
    detail::peer_calls peer_client;
    commit_queue local_commits;
    commit_router commits;
    collected_rows shared_rows;
    turn_store turns;
    program_spending spending;
    bucket_ownership overdraft_buckets;
    overdraft overdrafts;
    bucket_ownership quota_buckets;
    workspace_quotas quotas;
    request_scheduler scheduler;
    poison_detection poison;
    poison_exchange suspicions;
    memory_monitor memory;
    processor_admission processor;
    shutdown_admission shutdown;
    latency_histogram& traffic_delays;
    forwarding_services services;
    feed_context feeds;
    peer_list gateways;
    table_follower config_rows;
    table_follower target_rows;
    followed_tables tables;
    std::unique_ptr<http_server> frontend;
    std::unique_ptr<http_server> readiness;
    std::unique_ptr<http_server> metrics_server;
    std::function<void()> on_stopped;
    std::optional<time_point> stopping_since;
    row_fault_log row_faults;
    std::optional<time_point> last_sweep;
    std::optional<time_point> last_delay_logged;
    table_currency last_currency = table_currency::current;
    bool was_ready = false;
    bool accepting_stopped = false;
    bool requests_ended = false;
    /// Refusals for lack of memory; spreads the times at which the callers return.
    std::uint64_t memory_refusals = 0;
    /// The requests that are being forwarded, in order of arrival.
    std::map<std::uint64_t, std::weak_ptr<request_in_progress>> requests_in_progress;
    std::uint64_t last_request = 0;
};

} // namespace masticcourse::gateway

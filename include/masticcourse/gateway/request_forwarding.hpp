/// @file
/// Forwards one request from the caller to a target and the response back.
///
/// - A request that may have been executed is retried only if its route allows repeated execution.
/// - For a request with a budget, the tokens are reserved first. No token is sent to the caller before the
/// reservation is durable, except within a granted overdraft.
/// - The end of a turn is sent to the caller once the turn is durable.
/// - A request of a workspace with a quota is sent only with a permit that is valid at that moment. Each
/// possible execution needs its own permit.
/// - A request under which several targets have ended, one after another, is sent to no more of them.
/// - Nothing is decided by tables that are out of date: the store is read first, and if it neither replies
/// nor counts as away, the request is refused as not executed. While the store is away, requests are sent by
/// what is known, but none is finally refused by it.
/// - A long body is passed on while its caller sends it, and a long response while its target does; neither
/// is held whole, but for a turn that is to be stored. What is held is reserved first; without room, a
/// request is refused before any part of it reaches a target.
/// - While the process shuts down, a request that can't be finished before its end is refused as not
/// executed. What is in progress at the end is answered truthfully.
/// - While a scheduled service is short of room, requests are held back before their first attempt, or
/// refused.
#pragma once

#include "masticcourse/gateway/feed/table_age.hpp"
#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/io_delay.hpp"
#include "masticcourse/gateway/overdraft.hpp"
#include "masticcourse/gateway/poison_detection.hpp"
#include "masticcourse/gateway/poison_exchange.hpp"
#include "masticcourse/gateway/quota/workspace_quotas.hpp"
#include "masticcourse/gateway/route_table.hpp"
#include "masticcourse/gateway/scheduling/request_scheduler.hpp"
#include "masticcourse/gateway/shutdown_admission.hpp"
#include "masticcourse/gateway/turn_store.hpp"
#include "masticcourse/memory/memory_shares.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticcourse::gateway
{

/// Sends a request to a target and delivers the response in chunks; see http_client::open_stream().
using open_stream_function = std::function<std::shared_ptr<http_stream>(
    http_client_request, http_chunk_callback, http_reply_callback)>;

/// Finds out whether a target still accepts connections; see http_client::check_server().
using check_target_function = std::function<void(const std::string& address, server_check_callback)>;

/// The tables by which requests are decided; see followed_tables.
struct table_view
{
    std::function<duration()> age;
    std::function<table_currency()> currency;
    /// Tries to make the tables current, then calls the argument.
    std::function<void(std::function<void()>)> refresh;
};

/// Dependencies of request forwarding. They must outlive every request.
struct forwarding_services
{
    open_stream_function open_stream;
    check_target_function check_target;
    const gateway_protocol& protocol;
    target_table& targets;
    request_scheduler& scheduler;
    poison_detection& poison;
    poison_exchange& suspicions;
    program_spending& spending;
    turn_store& turns;
    overdraft& overdrafts;
    workspace_quotas& quotas;
    shutdown_admission& shutdown;
    const row_store& store;
    /// Age and currency of what this gateway knows of the configuration and of the targets.
    table_view tables;
    timer_function start_timer;
    clock_function clock;
    metrics_registry& metrics;
    /// Where the memory for requests and responses is reserved; null without a limit.
    memory_account_ptr memory;
    memory_shares& shares;
    failure_domain_name own_domain;
    /// Name of this gateway's VM.
    std::string own_name;
};

/// How a request ended, for metrics and logs.
enum class request_outcome : std::uint8_t
{
    answered,
    refused,
    /// The response was started but could not be completed.
    broken_off,
    /// The caller closed the connection.
    cancelled,
};

[[nodiscard]] std::string_view to_string(request_outcome outcome);

/// @return Retry-After of a request that is refused because of tables that are out of date, spread by its id:
/// all callers of a gateway are refused in the same moment
[[nodiscard]] milliseconds tables_retry_after(const request_id& id);

/// @return Retry-After of a request for which there is no memory, spread by its id
[[nodiscard]] milliseconds memory_retry_after(const request_id& id);

/// @return the Retry-After of a refusal for lack of processor time, spread over the callers
[[nodiscard]] milliseconds processor_retry_after(const request_id& id);

/// @return when a caller may return whose request was refused because there were too many in progress
[[nodiscard]] milliseconds connections_retry_after(const request_id& id);

/// @return when a caller may return whose request was refused because the process ends
[[nodiscard]] milliseconds shutdown_retry_after(const request_id& id);

/// A request that is being forwarded.
class request_in_progress
{
  public:
    request_in_progress() = default;
    request_in_progress(const request_in_progress&) = delete;
    request_in_progress(request_in_progress&&) = delete;
    request_in_progress& operator=(const request_in_progress&) = delete;
    request_in_progress& operator=(request_in_progress&&) = delete;
    virtual ~request_in_progress() = default;

    /// Answers the request, as the process ends: as not executed if that is true, else with an unknown
    /// outcome. A response that has been begun is broken off.
    virtual void end_for_shutdown() = 0;
};

/// Starts forwarding a request. Its state exists until it is answered or its caller disconnects.
/// @param config      configuration in force on arrival; used until the request ends
/// @param on_finished called exactly once
/// @return the request, while it is in progress
std::weak_ptr<request_in_progress> forward_request(forwarding_services& services, config_ptr config,
                                                   gateway_request request,
                                                   std::shared_ptr<http_exchange> exchange,
                                                   std::function<void(request_outcome)> on_finished);

} // namespace masticcourse::gateway

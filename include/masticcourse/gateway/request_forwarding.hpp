/// @file
/// One request on its way through the gateway: from the caller to a target and back.
///
/// - A request that may have run is sent again only if its route says that it may run twice.
/// - A request with a budget is preceded by a reservation of it; no token is handed out before that is
/// durable, but for what an overdraft allows.
/// - The end of a turn is handed out when the turn is durable.
/// - A request of a workspace with a quota is sent with a permit that is still valid at that moment, each
/// time that it may run.
#pragma once

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/overdraft.hpp"
#include "masticcourse/gateway/quota/workspace_quotas.hpp"
#include "masticcourse/gateway/route_table.hpp"
#include "masticcourse/gateway/turn_store.hpp"
#include "masticcourse/net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticcourse::gateway
{

/// Sends a request to a target and hands its answer on piece by piece; see http_client::open_stream().
using open_stream_function = std::function<std::shared_ptr<http_stream>(
    http_client_request, http_chunk_callback, http_reply_callback)>;

/// What a request on its way uses. All of it outlives every request.
struct forwarding_services
{
    open_stream_function open_stream;
    const gateway_protocol& protocol;
    target_table& targets;
    program_spending& spending;
    turn_store& turns;
    overdraft& overdrafts;
    workspace_quotas& quotas;
    const row_store& store;
    delay_function delay;
    clock_function clock;
    failure_domain_name own_domain;
};

/// How a request ended, for counters and logs.
enum class request_outcome : std::uint8_t
{
    answered,
    refused,
    /// The answer was begun and could not be finished.
    broken_off,
    /// The caller left.
    cancelled,
};

[[nodiscard]] std::string_view to_string(request_outcome outcome);

/// Starts a request; it lives until it is answered or its caller is gone.
/// @param config  in force when the request came; kept until its end
/// @param on_end  called once
void forward_request(forwarding_services& services, config_ptr config, gateway_request request,
                     std::shared_ptr<http_exchange> exchange,
                     std::function<void(request_outcome)> on_finished);

} // namespace masticcourse::gateway

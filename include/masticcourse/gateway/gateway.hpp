/// @file
/// The gateway: serves callers on one address, reports readiness on another, and follows the operator's
/// configuration and the target registry. Not thread-safe: everything runs on the thread of its event loop.
/// Callers and targets are traffic there; the store, other gateways, probes and timers are control.
#pragma once

#include "masticcourse/gateway/feed/table_follower.hpp"
#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/quota/quota_terms.hpp"
#include "masticcourse/gateway/request_forwarding.hpp"
#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/net/event_loop.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace masticcourse::gateway
{

struct gateway_options
{
    /// Name of the VM, by which gateways list each other.
    std::string node;
    /// CPU allotment, in cores.
    double cores = 1;
    /// Listen address for callers, "ip:port".
    std::string frontend_address;
    /// Listen address for the load balancer's readiness probe.
    std::string readiness_address;
    /// Request path of the readiness probe.
    std::string readiness_path;
    /// Listen address for the metrics endpoint; empty disables it.
    std::string metrics_address;
    /// Address at which peer gateways reach this one.
    std::string peer_address;
    failure_domain_name own_domain;
    /// Maximum size of the turn cache.
    std::size_t cache_bytes = 0;
    /// The size in bytes that the process must not exceed; 0 without a limit.
    std::size_t memory_bytes = 0;
    /// Resident size of the process before it holds anything for others, in bytes.
    std::size_t base_memory_bytes = 0;
    /// @return the resident size of the process in bytes; if empty, only what is accounted for counts
    std::function<std::optional<std::size_t>()> resident_memory = nullptr;
    /// The account of what is held for others; shared with the client of the store. Null without a limit.
    memory_account_ptr memory = nullptr;
    /// Clock of attended_time; if empty, all time counts as attended.
    clock_function attended_clock = nullptr;
    /// Connections of callers; see http_limits::max_connections.
    std::size_t max_connections = 20'000;
    /// Requests in progress; each may need a connection to a target.
    std::size_t max_requests = 10'000;
    /// Maximum size of one row of the store.
    std::size_t row_bytes = 0;
    /// Time between the stop signal and the moment the process is killed.
    milliseconds stop_grace{};
    /// How far a workspace's requests may exceed its quota.
    quota_rule quota;
    /// Placement and admission under load.
    scheduling_options scheduling;
};

/// Why a row could not be decoded.
struct row_decode_error
{
    std::string message;
};

template <typename Content>
using row_decode_result = std::variant<Content, row_decode_error>;

/// Decoders for configuration and target rows. Rows are untrusted input: any client of the store may have
/// written them.
struct table_decoders
{
    std::string config_table;
    std::string target_table;
    /// @return nothing if the row is not the configuration row
    std::function<std::optional<row_decode_result<gateway_config>>(const stored_row&)> decode_config;
    std::function<row_decode_result<target_record>(const stored_row&)> decode_target;
};

/// Handles the calls of other gateways to one path.
struct peer_handler
{
    std::string path;
    http_handler handler;
};

class gateway
{
  public:
    gateway(event_loop& loop, gateway_options options, const gateway_protocol& protocol, row_store& store,
            peer_directory& peers, table_decoders decoders, metrics_registry& metrics);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway& operator=(gateway&&) = delete;

    void start();

    /// Shuts down gracefully: reports not ready, serves the requests that still arrive, then calls
    /// @a on_stopped.
    void stop(std::function<void()> on_stopped);

    /// @return what peers may call. The handlers must not be called after the gateway's end.
    [[nodiscard]] std::vector<peer_handler> peer_handlers();

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse::gateway

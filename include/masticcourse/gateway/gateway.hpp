/// @file
/// The gateway: serves callers on one address, tells its readiness on another, and keeps up with the
/// operator's configuration and the registry of targets. All of it runs on the one thread that runs its
/// context.
#pragma once

#include "masticcourse/gateway/gateway_request.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/quota/quota_terms.hpp"
#include "masticcourse/gateway/request_forwarding.hpp"
#include "masticcourse/gateway/table_follower.hpp"
#include "masticcourse/net/http_server.hpp"
#include "masticcourse/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::gateway
{

struct gateway_options
{
    /// Where callers connect, "ip:port".
    std::string frontend_address;
    /// Where the balancer asks whether this process takes callers.
    std::string readiness_address;
    /// The balancer's question.
    std::string readiness_path;
    /// Where counters and histograms are read; empty serves none.
    std::string metrics_address;
    /// Where other gateways reach this one.
    std::string peer_address;
    failure_domain_name own_domain;
    /// Memory for turns.
    std::size_t cache_bytes = 0;
    /// The most that one row of the store holds.
    std::size_t row_bytes = 0;
    /// From the order to stop until the process is killed.
    milliseconds stop_grace{};
    /// How far requests of a workspace may exceed its quota.
    quota_rule quota;
};

/// Why a row can't be read, in words.
struct row_decode_error
{
    std::string message;
};

template <typename Content>
using row_decode_result = std::variant<Content, row_decode_error>;

/// How the operator's and the targets' rows are read. Anybody may have written them.
struct table_decoders
{
    std::string config_table;
    std::string target_table;
    /// @return nothing if the row is not the configuration
    std::function<std::optional<row_decode_result<gateway_config>>(const stored_row&)> decode_config;
    std::function<row_decode_result<target_record>(const stored_row&)> decode_target;
};

class gateway
{
  public:
    gateway(boost::asio::io_context& context, gateway_options options, const gateway_protocol& protocol,
            row_store& store, peer_directory& peers, table_decoders decoders, metrics_registry& metrics);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway& operator=(gateway&&) = delete;

    void start();

    /// Stops gracefully: turns the balancer away, answers what still comes, then calls @a on_stopped.
    void stop(std::function<void()> on_stopped);

    /// Where peers send the commits that this gateway collects.
    static constexpr const char* commit_path = "/commits";
    /// Serves a peer's request to that path.
    void serve_commits(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    /// Where peers ask for rows that this gateway remembers.
    static constexpr const char* row_lookup_path = "/rows";
    /// Serves a peer's request to that path.
    void serve_row_lookup(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    /// Where peers ask for overdrafts that this gateway may allow.
    static constexpr const char* overdraft_path = "/overdraft";
    /// Serves a peer's request to that path.
    void serve_overdraft(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    /// Where peers ask for portions of quotas that this gateway holds slices of.
    static constexpr const char* quota_path = "/quota";
    /// Serves a peer's request to that path.
    void serve_quota(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticcourse::gateway

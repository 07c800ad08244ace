/// @file
/// The active configuration and route matching: which service a request is sent to, and under which limits.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/access/workspace_directory.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// Whether a request whose outcome is unknown may be executed again.
enum class request_kind : std::uint8_t
{
    /// May be executed again at another target.
    idempotent,
    /// Executed at most once.
    non_idempotent,
    /// Answered by a stream of events; executed at most once unless the route is resumable.
    stream,
};

/// One of the weighted services of a route.
struct service_share
{
    service_name service;
    std::uint32_t weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    /// Path prefix; starts and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Maximum time until the caller gets a response.
    milliseconds timeout{};
    /// Latency target for the response, or for the first event of a stream.
    milliseconds target_latency{};
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    std::vector<service_share> services;
    /// Maximum number of targets that one request may be sent to.
    std::uint32_t max_attempts = 1;
    /// How long turns are stored; empty if the route does not store turns.
    std::optional<seconds> retention;
    /// Requests for the same object prefer the same target, which is faster if it has handled it before.
    bool sticky = false;
    /// An interrupted stream may be resumed at another target after its last event.
    bool resumable = false;
    /// Target for the maximum gap between two events of a stream.
    milliseconds event_gap{};
    /// Callers need no API key.
    bool allows_anonymous = false;

    /// @return whether a request may be executed more than once
    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::stream && resumable);
    }

    /// @return whether completed turns are stored for the turns that continue them
    [[nodiscard]] bool retains_turns() const
    {
        return retention.has_value();
    }
};

/// Properties of a service whose targets are model engines.
struct engine_traits
{
    token_count tokens_per_event = 1;
};

struct routed_service
{
    service_name name;
    std::string health_path;
    /// Limit for one target, across all its callers.
    std::uint32_t max_connections = 0;
    std::optional<engine_traits> engine;
};

/// Size limits and timeouts for requests of callers.
struct caller_limits
{
    std::size_t max_header = std::size_t{16} * 1024;
    std::size_t max_body = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One complete version of the operator's configuration.
struct gateway_config
{
    config_version version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    workspace_directory workspaces;
    caller_limits limits;

    /// The port of @a host is ignored, and its case does not matter.
    /// @return the route of the host whose prefix is the longest that matches @a path, or null
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const routed_service* find_service(const service_name& name) const;
};

using config_ptr = std::shared_ptr<const gateway_config>;

/// Holds the newest configuration that this process has seen; never replaces it by an older one.
class config_holder
{
  public:
    /// @return false if the active version is the same or newer
    bool adopt(gateway_config config);

    /// @return the active configuration, or null if none has been adopted yet
    [[nodiscard]] const config_ptr& current() const
    {
        return m_current;
    }

  private:
    config_ptr m_current;
};

/// Chooses among the services of a route by weight. A key maps to the same service as long as the weights do
/// not change.
/// @param key identifies requests that go to the same service, such as a program's id
[[nodiscard]] const service_name& choose_service(const route& route, std::string_view key);

} // namespace masticcourse::gateway

/// @file
/// The configuration in force and the choice of a route: which service a request goes to, under which bounds.
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

/// What may be done with a request whose fate is unknown.
enum class request_kind : std::uint8_t
{
    /// May run again at another target.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Answered by a series of events; runs at most once, unless its route says that it may be resumed.
    stream,
};

/// One of the services that share a route's requests.
struct service_share
{
    service_name service;
    std::uint32_t weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::non_idempotent;
    /// The longest that a caller is kept waiting.
    milliseconds timeout{};
    /// Within this time an answer (of a stream: its first event) has its full worth.
    milliseconds target_latency{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<service_share> services;
    /// To how many targets one request may be sent.
    std::uint32_t max_attempts = 1;
    /// How long turns are kept; empty where what was said is not kept.
    std::optional<seconds> retention;
    /// A target that handled the same object before is faster.
    bool sticky = false;
    /// A stream that broke off may go on at another target behind its last event.
    bool resumable = false;
    /// The longest pause between two events with which a stream still has its full worth.
    milliseconds event_gap{};
    /// Callers need no key.
    bool allows_anonymous = false;

    /// Whether a request may run more than once.
    [[nodiscard]] bool repeatable() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::stream && resumable);
    }

    [[nodiscard]] bool keeps_turns() const
    {
        return retention.has_value();
    }
};

/// What is known of a service whose targets are model engines.
struct engine_traits
{
    token_count tokens_per_event = 1;
};

struct routed_service
{
    service_name name;
    std::string health_path;
    /// Of one target, for all its callers together.
    std::uint32_t max_connections = 0;
    std::optional<engine_traits> engine;
};

/// What callers may send, and how long they may take.
struct caller_limits
{
    std::size_t max_header = std::size_t{16} * 1024;
    std::size_t max_body = std::size_t{4} * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the operator's configuration, whole.
struct gateway_config
{
    config_version version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    workspace_directory workspaces;
    caller_limits limits;

    /// @return the route of that host with the longest prefix that begins @a path, or null
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] const routed_service* find_service(const service_name& name) const;
};

using config_ptr = std::shared_ptr<const gateway_config>;

/// Holds the newest configuration seen by this process; never goes back to an older one.
class config_holder
{
  public:
    /// @return false if a version as new or newer is in force already
    bool adopt(gateway_config config);

    /// @return the configuration in force, or null before the first one
    [[nodiscard]] const config_ptr& current() const
    {
        return m_current;
    }

  private:
    config_ptr m_current;
};

/// Chooses among a route's services by weight. One key always gets the same service while the shares stand.
/// @param key what stays together, such as a program's id
[[nodiscard]] const service_name& choose_service(const route& route, std::string_view key);

} // namespace masticcourse::gateway

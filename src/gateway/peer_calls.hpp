/// @file
/// HTTP calls between gateways: forwarded commits, queries of cached rows, table feeds, overdrafts, quota
/// permits, load digests and suspected requests.
#pragma once

#include "masticcourse/gateway/collected_rows.hpp"
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/feed/feed_messages.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace masticcourse::gateway::detail
{

/// @name Paths of the calls
/// @{
/// Commits that the receiver batches.
inline constexpr const char* commit_path = "/commits";
/// Rows in the receiver's cache.
inline constexpr const char* row_lookup_path = "/rows";
/// Overdrafts that the receiver may grant.
inline constexpr const char* overdraft_path = "/overdraft";
/// Permits from the quota slices held by the receiver.
inline constexpr const char* quota_path = "/quota";
/// The load of targets.
inline constexpr const char* load_path = "/load";
/// Tables that the sender follows through the receiver.
inline constexpr const char* feed_path = "/feed";
/// Requests that are suspected to end targets.
inline constexpr const char* suspicions_path = "/suspicions";
/// @}

/// The longest reply of a peer, in bytes: several times the largest page of rows.
inline constexpr std::size_t max_reply = std::size_t{8} * 1024 * 1024;

/// Client side.
class peer_calls
{
  public:
    /// @param memory where replies are counted while they are received; may be null
    peer_calls(boost::asio::io_context& context, memory_account_ptr memory)
        : m_client(context, {.max_body = max_reply, .memory = std::move(memory)})
    {
    }

    void collect(const std::string& address, std::string changes, collector_callback on_reply);
    void query_rows(const std::string& address, std::string query, peer_callback on_rows);
    void overdraft(const std::string& address, std::string message, peer_callback on_reply);
    void feed(const std::string& address, std::string request, relay_callback on_reply);
    void quota(const std::string& address, std::string request, peer_callback on_reply);
    void load_digest(const std::string& address, std::string digest, peer_callback on_reply);
    void suspicions(const std::string& address, std::string news, peer_callback on_reply);

  private:
    /// Sends a request that may safely be repeated.
    /// @param on_reply receives the reply, or nothing unless it is complete and has status 200
    void send_idempotent(http_client_request request, milliseconds timeout,
                         std::function<void(std::optional<http_client_reply>)> on_reply);
    void send_idempotent(http_client_request request, milliseconds timeout, peer_callback on_reply);

    http_client m_client;
};

/// @name Server side
/// @{
[[nodiscard]] http_response to_response(const collector_reply& reply);
[[nodiscard]] http_response to_response(const relay_reply& reply);
/// @param reply nothing if the request could not be decoded
[[nodiscard]] http_response to_response(std::optional<std::string> reply);
/// @}

} // namespace masticcourse::gateway::detail

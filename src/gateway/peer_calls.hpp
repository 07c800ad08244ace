/// @file
/// What gateways ask of each other over HTTP: to collect commits, what they remember of rows, overdrafts,
/// and portions of quotas.
#pragma once

#include "masticcourse/gateway/collected_rows.hpp"
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_message.hpp"

#include <optional>
#include <string>

namespace masticcourse::gateway::detail
{

/// The asking side.
class peer_calls
{
  public:
    explicit peer_calls(boost::asio::io_context& context) : m_client(context) {}

    void collect(const std::string& address, std::string changes, collector_callback on_answer);
    void query_rows(const std::string& address, std::string query, peer_callback on_rows);
    void overdraft(const std::string& address, std::string message, peer_callback on_answer);
    void quota(const std::string& address, std::string question, peer_callback on_answer);

  private:
    /// Asks for what does no harm if it is asked twice.
    void send_idempotent(http_client_request request, milliseconds timeout, peer_callback on_answer);

    http_client m_client;
};

/// @name The answering side
/// @{
[[nodiscard]] http_response to_response(const collector_answer& answer);
/// @param answer nothing if the question could not be read
[[nodiscard]] http_response to_response(std::optional<std::string> answer);
/// @}

} // namespace masticcourse::gateway::detail

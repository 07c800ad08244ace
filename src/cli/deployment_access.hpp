/// @file
/// Endpoints, credentials and HTTP helpers for commands that contact a deployment.
#pragma once

#include "command.hpp"

#include "masticcourse/net/http_client.hpp"
#include "masticcourse/settings/settings.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::detail
{

/// Timeout of a single request.
inline constexpr std::chrono::milliseconds request_timeout{10'000};

/// Name and HTTP address of a process.
struct process_endpoint
{
    std::string name;
    std::string address;
};

/// Entries of a deployment and the operator token.
struct deployment_access
{
    std::vector<process_endpoint> entries;
    std::string token;
};

/// Adds `--settings`, `--entry` and `--token-file`.
void add_access_options(po::options_description& options);

/// @return the entries and token given by the options, or std::nullopt after an error message
[[nodiscard]] std::optional<deployment_access> read_access(const po::variables_map& options, console& output);

/// @return the settings, or std::nullopt after an error message for each fault
[[nodiscard]] std::optional<deployment_settings> load_settings(const std::string& path, console& output);

/// @return the content of a file, or std::nullopt if it cannot be opened
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

/// @return false if the file could not be written completely
[[nodiscard]] bool write_file(const std::string& path, const std::string& content);

/// @return a request with the token in the `Authorization` header; no header if the token is empty
[[nodiscard]] http_client_request make_request(const std::string& address, std::string method,
                                               std::string target, const std::string& token);

/// Sends all requests concurrently and waits for the replies.
/// @return the replies in the order of the requests
[[nodiscard]] std::vector<http_client_reply> send_all(std::vector<http_client_request> requests);

/// Sends a request to the first entry that accepts a connection.
/// @param request the request; its address is overwritten
[[nodiscard]] http_client_reply send_with_failover(const deployment_access& access,
                                                   http_client_request request);

/// Writes an error to @a output if the request failed.
/// @return the exit code for the reply
[[nodiscard]] exit_code check_reply(const http_client_reply& reply, const std::string& name, console& output);

} // namespace masticcourse::detail

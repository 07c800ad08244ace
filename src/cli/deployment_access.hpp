/// @file
/// What the commands share that talk to a deployment: whom to ask, with which token.
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

/// How long a command waits for one answer.
inline constexpr std::chrono::milliseconds request_timeout{10'000};

/// A process and how to reach it.
struct process_endpoint
{
    std::string name;
    std::string address;
};

/// The entries of a deployment and the operators' token.
struct deployment_access
{
    std::vector<process_endpoint> entries;
    std::string token;
};

/// Adds `--settings`, `--entry` and `--token-file`.
void add_access_options(po::options_description& options);

/// @return whom to ask, or nothing after the fault was written to @a output
[[nodiscard]] std::optional<deployment_access> read_access(const po::variables_map& options, console& output);

/// @return the settings, or nothing after all faults were written to @a output
[[nodiscard]] std::optional<deployment_settings> load_settings(const std::string& path, console& output);

/// @return the whole content of a file, or nothing
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

/// @return whether the content was written
[[nodiscard]] bool write_file(const std::string& path, const std::string& content);

/// @return a request with the token in its `Authorization` header
[[nodiscard]] http_client_request make_request(const std::string& address, std::string method,
                                               std::string target, const std::string& token);

/// Sends all requests at once and waits for all answers.
/// @return the answers in order of the requests
[[nodiscard]] std::vector<http_client_reply> send_all(std::vector<http_client_request> requests);

/// Sends a request, and goes on to the next entry as long as none takes the connection.
/// @param request its address is set here
[[nodiscard]] http_client_reply send_with_failover(const deployment_access& access,
                                                   http_client_request request);

/// @return the exit code that goes with an answer; what is wrong is written to @a output
[[nodiscard]] exit_code check_reply(const http_client_reply& reply, const std::string& name, console& output);

} // namespace masticcourse::detail

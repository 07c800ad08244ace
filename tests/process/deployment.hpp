/// @file
/// A small deployment of real processes on loopback: two entries, two model targets, one tool target, and
/// what stands in for the platform and the backends.
#pragma once

#include "child_process.hpp"

#include "masticcourse/net/http_client.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::tests
{

/// The longest that a test waits for a condition. It bounds a failing run; no verdict depends on it
/// otherwise.
inline constexpr std::chrono::seconds patience{60};

/// Polls until a condition holds.
/// @return whether it came to hold within #patience
[[nodiscard]] bool wait_until(const std::function<bool()>& condition);

/// @name The deployment's tokens
/// @{
inline constexpr std::string_view workspace_token = "process-test-workspace";
inline constexpr std::string_view foreign_token = "process-test-foreign";
inline constexpr std::string_view operator_token = "process-test-operator";
/// @}

/// Processes, their settings and an HTTP client for the test.
class deployment
{
  public:
    /// Starts everything and waits until both entries are ready and share the shards.
    deployment();
    deployment(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment& operator=(deployment&&) = delete;
    /// Kills the processes; prints the tails of their logs if the test is failing.
    ~deployment();

    /// @name "ip:port" by role
    /// @{
    [[nodiscard]] const std::string& entry(std::size_t index) const;
    [[nodiscard]] const std::string& engine(std::size_t index) const;
    [[nodiscard]] const std::string& service() const;
    [[nodiscard]] const std::string& store() const;
    /// @}

    /// @return the process of that name: entry-N, model-N, tool-0, backend-model-N, backend-tool-0, store,
    /// vms
    [[nodiscard]] child_process& process(const std::string& name);

    /// Starts an entry or target again under its name.
    void restart(const std::string& name);

    /// @return the folder that holds settings and logs
    [[nodiscard]] const std::string& folder() const;

    /// Sends a request and waits for its answer.
    http_client_reply ask(http_client_request request);

    /// Sends a request whose answer is waited for later.
    std::future<http_client_reply> send(http_client_request request);

    /// Opens a stream; see http_client::open_stream.
    std::shared_ptr<http_stream> open_stream(http_client_request request, http_chunk_callback on_chunk,
                                             http_reply_callback on_end);

    /// Sends bytes as they are and closes the connection.
    void send_raw_and_close(const std::string& address, std::string_view bytes);

  private:
    class client;

    void write_settings();
    void start(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments);
    void start_daemon(const std::string& name);
    void publish_vms();
    void wait_ready();
    void print_logs() const;

    std::string m_folder;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    std::unique_ptr<client> m_client;
};

} // namespace masticcourse::tests

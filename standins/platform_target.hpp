/// @file
/// Stand-in for a target of the users' platform: a model engine that streams events, or a plain service.
/// Records the requests that it executed.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

class platform_target
{
  public:
    /// @param id        incarnation of the target
    /// @param streaming whether it responds with event streams
    platform_target(boost::asio::io_context& context, const std::string& address, std::string id,
                    bool streaming);

    [[nodiscard]] std::uint16_t port() const;
    /// @return the entry of this target in the target registry
    [[nodiscard]] std::string registry_entry(const std::string& service, const std::string& state) const;
    /// Delays the end of streamed responses.
    void set_response_time(std::chrono::milliseconds time);
    /// @return the executed requests
    [[nodiscard]] std::vector<http_request> requests() const;

  private:
    void handle_request(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    boost::asio::io_context& m_context;
    std::string m_incarnation;
    bool m_streaming;
    std::atomic<std::chrono::milliseconds> m_response_time{};
    mutable std::mutex m_mutex;
    std::vector<http_request> m_requests;
    std::unique_ptr<http_server> m_server;
};

} // namespace masticcourse::standins

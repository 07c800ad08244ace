/// @file
/// Stand-in for a target of the users' platform: a model engine that streams events, or a plain service.
/// Records the requests that it executed.
#pragma once

#include "masticcourse/net/http_server.hpp"

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
    /// @return the executed requests
    [[nodiscard]] std::vector<http_request> requests() const;

  private:
    void handle_request(const http_request& request, http_exchange& exchange);

    std::string m_incarnation;
    bool m_streaming;
    mutable std::mutex m_mutex;
    std::vector<http_request> m_requests;
    std::unique_ptr<http_server> m_server;
};

} // namespace masticcourse::standins

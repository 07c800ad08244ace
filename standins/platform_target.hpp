/// @file
/// A target as the users' platform has them: a model engine that streams events, or a plain service; it keeps
/// what it was asked.
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
    /// @param id      its incarnation
    /// @param streams whether it answers by events
    platform_target(boost::asio::io_context& context, const std::string& address, std::string id,
                    bool streaming);

    [[nodiscard]] std::uint16_t port() const;
    /// @return its entry in the registry of targets
    [[nodiscard]] std::string registry_entry(const std::string& service, const std::string& state) const;
    /// @return the requests that it ran
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

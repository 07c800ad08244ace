/// @file
/// Stand-in for the platform's list of VMs, which lags behind the actual state.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <chrono>
#include <deque>
#include <memory>
#include <string>

namespace masticcourse::standins
{

/// `GET /vms` returns the list set by `PUT /vms`, after a lag. Not thread-safe.
class vm_list
{
  public:
    /// @param lag age of the returned list
    explicit vm_list(std::chrono::milliseconds lag);

    void handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

  private:
    struct version
    {
        std::chrono::steady_clock::time_point published_at;
        std::string list;
    };

    [[nodiscard]] std::string visible_list();

    std::chrono::milliseconds m_lag;
    std::deque<version> m_versions;
};

} // namespace masticcourse::standins

/// @file
/// The store stand-in behind HTTP, as the platform offers it, with `POST /faults` and `GET /stats` besides.
#pragma once

#include "platform_store.hpp"

#include "masticcourse/net/http_server.hpp"

#include <memory>
#include <mutex>

namespace masticcourse::standins
{

/// Answers the platform's HTTP requests from one store. Thread-safe.
class platform_store_http
{
  public:
    explicit platform_store_http(boost::asio::io_context& context);

    /// Takes one request; the answer comes after the delay that the faults ask for.
    void handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

    void set_faults(const store_faults& faults);
    [[nodiscard]] store_stats stats();

  private:
    void run(const store_op& op, const std::shared_ptr<http_exchange>& exchange);
    void take_faults(const std::string& body, http_exchange& exchange);

    boost::asio::io_context& m_context;
    std::mutex m_mutex;
    platform_store m_store;
};

} // namespace masticcourse::standins

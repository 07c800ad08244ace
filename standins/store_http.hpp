/// @file
/// HTTP interface of the stand-in for the platform's table service and object store, with fault injection.
#pragma once

#include "masticcourse/net/http_server.hpp"
#include "platform_store.hpp"

#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

/// Serves `GET|PUT /table/{key}`, `GET /table?prefix=`, `GET|PUT|DELETE /objects/{key}`,
/// `GET /objects?prefix=`, `POST /faults`, `GET /stats`. Not thread-safe.
class store_http
{
  public:
    explicit store_http(boost::asio::io_context& context);

    void handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange);

  private:
    void handle_faults(const http_request& request, http_exchange& exchange);
    void handle_stats(http_exchange& exchange) const;
    void send_response(const std::shared_ptr<http_exchange>& exchange, const store_reply& reply,
                       bool is_create);

    boost::asio::io_context& m_context;
    platform_store m_store;
};

} // namespace masticcourse::standins

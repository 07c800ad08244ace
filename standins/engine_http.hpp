/// @file
/// The model engine over HTTP: completions as event streams, cache listing, KV export and import, cache
/// events that are late and have gaps, load with a lag, orders with fencing numbers, and faults on command.
#pragma once

#include "engine_model.hpp"
#include "masticcourse/net/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

struct engine_http_options
{
    engine_options engine;
    /// Refuse an order whose number is older than the newest seen; otherwise ignore the number.
    bool check_fencing = false;
    /// How old the load is that `GET /v1/load` tells.
    std::chrono::milliseconds load_lag{200};
    /// How late cache events are, and which of them are missing (every n-th; 0: none).
    std::chrono::milliseconds event_delay{500};
    std::uint32_t event_gap = 7;
};

/// Serves the engine. All members and all of its requests run on the context's one thread.
class engine_http
{
  public:
    engine_http(boost::asio::io_context& context, const engine_http_options& options);
    engine_http(const engine_http&) = delete;
    engine_http(engine_http&&) = delete;
    engine_http& operator=(const engine_http&) = delete;
    engine_http& operator=(engine_http&&) = delete;
    ~engine_http();

    void handle(const http_request& request, std::shared_ptr<http_exchange> exchange);

  private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace masticcourse::standins

/// @file
/// HTTP interface of the simulated model engine: completions as event streams, cache listing, KV export and
/// import, delayed and lossy cache events, lagging load reports, orders with fencing numbers, fault
/// injection.
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
    /// Reject orders with a fencing number below the highest seen. If false, fencing numbers are ignored.
    bool check_fencing = false;
    /// Refresh interval, and so the maximum age, of the load reported by `GET /v1/load`.
    std::chrono::milliseconds load_lag{200};
    /// Delay of cache events, and the interval at which they are lost (every n-th; 0 loses none).
    std::chrono::milliseconds event_delay{500};
    std::uint32_t event_gap = 7;
};

/// Serves the engine. All members must be called on the single thread of the context, which also runs all
/// requests.
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

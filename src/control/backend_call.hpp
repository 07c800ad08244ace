/// @file
/// One call under way at the target, and what its end means for the caller.
#pragma once

#include "masticcourse/control/target_backend.hpp"
#include "masticcourse/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace masticcourse::detail
{

/// A call under way. It tells its own `engine_finished`, exactly once.
class backend_call
{
  public:
    backend_call() = default;
    backend_call(const backend_call&) = delete;
    backend_call(backend_call&&) = delete;
    backend_call& operator=(const backend_call&) = delete;
    backend_call& operator=(backend_call&&) = delete;
    virtual ~backend_call() = default;

    virtual void start() = 0;

    /// Ends the call at the target; from any thread.
    virtual void cancel() = 0;
};

/// What every call needs to do its work.
struct backend_tools
{
    boost::asio::io_context& context;
    http_client& client;
    const target_backend_options& options;
    target_input_callback tell;
    /// Differs for every call that this process starts, also for a second run of one.
    std::uint64_t run = 0;
};

/// The call was sent and its answer was lost: nobody can tell whether one that is not idempotent ran.
[[nodiscard]] call_outcome lost_outcome(const call_request& request, std::string detail);

/// What an answer that is no success means.
[[nodiscard]] call_outcome failure_of(const call_request& request, const http_client_reply& reply);

[[nodiscard]] constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace masticcourse::detail

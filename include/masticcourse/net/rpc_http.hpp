/// @file
/// JSON-RPC over HTTP: requests are sent as the body of a POST, responses returned as the body of its reply.
#pragma once

#include "masticcourse/net/http_message.hpp"
#include "masticcourse/net/rpc.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace masticcourse
{

/// The HTTP endpoint of a JSON-RPC server, with request options.
struct rpc_http_endpoint
{
    /// "ip:port"
    std::string address;
    std::string target = "/rpc";
    /// Additional request headers, such as `Authorization`.
    std::vector<http_header> headers;
    std::chrono::milliseconds timeout{10'000};
};

/// Dispatches a request to @a server on the calling thread, which must own the data that the methods access.
/// @return a JSON-RPC response, or a problem document if @a request is not a POST
[[nodiscard]] http_response handle_rpc_request(rpc_server& server, const http_request& request);

/// @return a transport that blocks until the response arrives and throws `std::runtime_error` on failure
[[nodiscard]] rpc_client::transport make_http_transport(rpc_http_endpoint endpoint);

} // namespace masticcourse

/// @file
/// JSON-RPC over HTTP: a request is the body of a POST, and its answer that of the reply.
#pragma once

#include "masticcourse/net/http_message.hpp"
#include "masticcourse/net/rpc.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace masticcourse
{

/// Where a server takes JSON-RPC requests.
struct rpc_http_endpoint
{
    /// "ip:port"
    std::string address;
    std::string target = "/rpc";
    /// Headers besides those that HTTP needs, such as `Authorization`.
    std::vector<http_header> headers;
    std::chrono::milliseconds timeout{10'000};
};

/// Answers a request by @a server, on the calling thread: the one that owns what the methods read.
/// @return a JSON-RPC answer, or a problem document if @a request is no POST
[[nodiscard]] http_response handle_rpc_request(rpc_server& server, const http_request& request);

/// @return a transport that blocks until the answer is there; it throws `std::runtime_error` if there is none
[[nodiscard]] rpc_client::transport make_http_transport(rpc_http_endpoint endpoint);

} // namespace masticcourse

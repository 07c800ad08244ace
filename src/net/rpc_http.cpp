#include "masticcourse/net/rpc_http.hpp"

#include "masticcourse/net/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <stdexcept>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr int status_ok = 200;

/// Blocks until the request completes, running a private I/O context.
http_client_reply send_and_wait(http_client_request request)
{
    boost::asio::io_context context;
    http_client client(context);
    http_client_reply result;
    client.send(std::move(request),
                [&](http_client_reply reply)
                {
                    result = std::move(reply);
                    context.stop();
                });
    context.run();
    return result;
}

} // namespace

http_response handle_rpc_request(rpc_server& server, const http_request& request)
{
    if (request.method != "POST")
    {
        return problem_response({.id = problem_id::wrong_method, .detail = "JSON-RPC takes POST"});
    }
    return {.body = server.handle(request.body)};
}

rpc_client::transport make_http_transport(rpc_http_endpoint endpoint)
{
    return [endpoint = std::move(endpoint)](const std::string& request_text)
    {
        http_client_request request{.address = endpoint.address,
                                    .method = "POST",
                                    .target = endpoint.target,
                                    .body = request_text,
                                    .headers = endpoint.headers,
                                    .timeout = endpoint.timeout};
        request.headers.push_back({"Content-Type", "application/json"});
        auto reply = send_and_wait(std::move(request));
        if (reply.failure != http_failure::none)
        {
            throw std::runtime_error(endpoint.address + ": " + std::string(to_string(reply.failure)));
        }
        if (reply.status != status_ok)
        {
            throw std::runtime_error(endpoint.address + ": HTTP " + std::to_string(reply.status) + " " +
                                     reply.body);
        }
        return std::move(reply.body);
    };
}

} // namespace masticcourse

/// @file
/// Plain HTTP service that counts the executions of each request, with fault injection.
#pragma once

#include "masticcourse/net/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace masticcourse::standins
{

/// Faults set by `POST /faults`.
struct service_faults
{
    /// Requests are neither executed nor answered.
    bool hang = false;
    /// Number of subsequent requests that fail with 500 without being executed.
    std::uint32_t fail_next = 0;
    /// Number of subsequent requests that are executed, but whose connections close without a response.
    std::uint32_t lose_answers = 0;
    /// Delay between the execution of a request and its response.
    std::chrono::milliseconds delay{};
};

/// Serves `POST /v1/invoke`, `GET /stats`, `GET` and `POST /faults` on the single thread of the context.
class plain_service
{
  public:
    explicit plain_service(boost::asio::io_context& context);

    void handle(const http_request& request, std::shared_ptr<http_exchange> exchange);

    /// @return the output of an executed request
    [[nodiscard]] static std::string make_output(const std::string& key, const std::string& input);

  private:
    struct request_key
    {
        std::string program;
        std::string key;
        friend auto operator<=>(const request_key&, const request_key&) = default;
    };

    void invoke(const http_request& request, std::shared_ptr<http_exchange> exchange);
    void send_response(std::shared_ptr<http_exchange> exchange, http_response response);
    void handle_faults(const http_request& request, http_exchange& exchange);
    [[nodiscard]] std::string stats_json() const;

    boost::asio::io_context& m_context;
    service_faults m_faults;
    std::map<request_key, std::uint64_t> m_runs;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered;
};

} // namespace masticcourse::standins

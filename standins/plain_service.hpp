/// @file
/// A plain service over HTTP that counts how often each request really ran, with faults on command.
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

/// Faults that `POST /faults` sets.
struct service_faults
{
    /// Requests are neither run nor answered.
    bool hang = false;
    /// So many requests fail with 500 and do not run.
    std::uint32_t fail_next = 0;
    /// So many requests run, and their connections close without an answer.
    std::uint32_t lose_answers = 0;
    /// Between a request's run and its answer.
    std::chrono::milliseconds delay{};
};

/// Serves `POST /v1/invoke`, `GET /stats`, `GET` and `POST /faults`, all on the context's one thread.
class plain_service
{
  public:
    explicit plain_service(boost::asio::io_context& context);

    void handle(const http_request& request, std::shared_ptr<http_exchange> exchange);

    /// @return the output of a request that ran
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

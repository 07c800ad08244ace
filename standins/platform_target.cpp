#include "platform_target.hpp"

#include "masticcourse/net/sse.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticcourse::standins
{

namespace
{

/// Number of events in a streamed response.
constexpr int events_per_response = 3;

} // namespace

platform_target::platform_target(boost::asio::io_context& context, const std::string& address, std::string id,
                                 bool streaming)
    : m_context(context), m_incarnation(std::move(id)), m_streaming(streaming),
      m_server(std::make_unique<http_server>(context, address, http_limits{},
                                             [this](const auto& request, const auto& exchange)
                                             { handle_request(request, exchange); }))
{
}

std::uint16_t platform_target::port() const
{
    return m_server->port();
}

std::string platform_target::registry_entry(const std::string& service, const std::string& state) const
{
    const nlohmann::json entry{{"service", service},   {"address", "127.0.0.1:" + std::to_string(port())},
                               {"zone", "here"},       {"version", "v1"},
                               {"slots", 4},           {"state", state},
                               {"coldRemainingMs", 0}, {"sequence", 1}};
    return entry.dump();
}

std::vector<http_request> platform_target::requests() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests;
}

void platform_target::set_response_time(std::chrono::milliseconds time)
{
    m_response_time = time;
}

void platform_target::handle_request(const http_request& request,
                                     const std::shared_ptr<http_exchange>& exchange)
{
    constexpr int misdirected = 421;
    const auto id = request.header("Masticcourse-Request-Id").value_or("");
    if (request.header("Masticcourse-Expect-Instance").value_or(m_incarnation) != m_incarnation)
    {
        exchange->respond(
            {.status = misdirected, .body = "{}", .headers = {{"Masticcourse-Request-Id", id}}});
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_requests.push_back(request);
    }
    const std::vector<http_header> headers{{"Masticcourse-Request-Id", id},
                                           {"Masticcourse-Response-Signature", "by-" + m_incarnation},
                                           {"Masticcourse-Instance-Load", "1,0,4"}};
    if (!m_streaming)
    {
        exchange->respond({.body = "answer to " + id, .headers = headers});
        return;
    }
    exchange->begin_stream(200, headers);
    for (int n = 1; n <= events_per_response; ++n)
    {
        exchange->write(format_sse({.id = std::to_string(n), .data = id + "-" + std::to_string(n)}));
    }
    auto end = std::make_shared<boost::asio::steady_timer>(m_context, m_response_time.load());
    end->async_wait([end, exchange](const auto&) { exchange->end_stream(); });
}

} // namespace masticcourse::standins

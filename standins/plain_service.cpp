#include "plain_service.hpp"

#include "routes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace masticcourse::standins
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_failed = 500;

bool consume_one(std::uint32_t& remaining)
{
    if (remaining == 0)
    {
        return false;
    }
    remaining -= 1;
    return true;
}

} // namespace

plain_service::plain_service(boost::asio::io_context& context) : m_context(context) {}

void plain_service::handle(const http_request& request, std::shared_ptr<http_exchange> exchange)
{
    const auto path = path_segments(request.target);
    if (path == std::vector<std::string>{"v1", "invoke"})
    {
        invoke(request, std::move(exchange));
    }
    else if (path == std::vector<std::string>{"stats"})
    {
        exchange->respond(json_response(status_ok, stats_json()));
    }
    else if (path == std::vector<std::string>{"faults"} && request.method == "GET")
    {
        exchange->respond(json_response(status_ok, json{{"unanswered", m_unanswered.size()}}.dump()));
    }
    else if (path == std::vector<std::string>{"faults"})
    {
        handle_faults(request, *exchange);
    }
    else
    {
        exchange->respond(json_error(status_not_found, "unknown path"));
    }
}

std::string plain_service::make_output(const std::string& key, const std::string& input)
{
    return "done " + key + ": " + input;
}

void plain_service::invoke(const http_request& request, std::shared_ptr<http_exchange> exchange)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body.contains("program"))
    {
        exchange->respond(json_error(status_bad_request, "key and program are needed"));
        return;
    }
    if (m_faults.hang)
    {
        m_unanswered.push_back(std::move(exchange));
        return;
    }
    if (consume_one(m_faults.fail_next))
    {
        exchange->respond(json_error(status_failed, "failed on command"));
        return;
    }
    const auto key = body.value("key", std::string{});
    m_runs[{.program = body.value("program", std::string{}), .key = key}] += 1;
    if (consume_one(m_faults.lose_answers))
    {
        // Destroying an exchange without a response closes its connection.
        return;
    }
    const std::string output = make_output(key, body.value("input", std::string{}));
    send_response(std::move(exchange), json_response(status_ok, json{{"output", output}}.dump()));
}

void plain_service::send_response(std::shared_ptr<http_exchange> exchange, http_response response)
{
    if (m_faults.delay == std::chrono::milliseconds::zero())
    {
        exchange->respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_faults.delay);
    timer->async_wait([timer, exchange = std::move(exchange), response = std::move(response)](auto /*ec*/)
                      { exchange->respond(response); });
}

void plain_service::handle_faults(const http_request& request, http_exchange& exchange)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        exchange.respond(json_error(status_bad_request, "no faults"));
        return;
    }
    m_faults = {.hang = body.value("hang", false),
                .fail_next = body.value("fail_next", 0U),
                .lose_answers = body.value("lose_answers", 0U),
                .delay = std::chrono::milliseconds{body.value("delay_ms", 0)}};
    exchange.respond(json_response(status_ok, "{}"));
}

std::string plain_service::stats_json() const
{
    json list = json::array();
    for (const auto& [name, runs] : m_runs)
    {
        list.push_back({{"program", name.program}, {"key", name.key}, {"runs", runs}});
    }
    return list.dump();
}

} // namespace masticcourse::standins

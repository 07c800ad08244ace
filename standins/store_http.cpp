#include "store_http.hpp"

#include "routes.hpp"

#include "masticcourse/daemon/control_loop.hpp"
#include "masticcourse/net/percent.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace masticcourse::standins
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;

std::optional<row_version> expected_version(const http_request& request)
{
    if (request.header("If-None-Match") == "*")
    {
        return 0;
    }
    const auto etag = request.header("If-Match").value_or("");
    const auto from = etag.find_first_not_of('"');
    row_version version = 0;
    if (from == std::string::npos ||
        std::from_chars(etag.data() + from, etag.data() + etag.size(), version).ec != std::errc{})
    {
        return std::nullopt;
    }
    return version;
}

std::optional<store_op> table_op(const http_request& request, const std::string& key)
{
    if (request.method == "GET")
    {
        return table_get{key};
    }
    const auto expected = expected_version(request);
    if (request.method != "PUT" || !expected)
    {
        return std::nullopt;
    }
    return table_put{key, request.body, *expected};
}

std::optional<store_op> object_op(const http_request& request, const std::string& key)
{
    if (request.method == "GET")
    {
        return object_get{key};
    }
    if (request.method == "DELETE")
    {
        return object_delete{key};
    }
    if (request.method != "PUT" || request.header("If-None-Match") != "*")
    {
        return std::nullopt;
    }
    return object_create{key, request.body};
}

/// @return the requested operation, or nothing if the request is invalid
std::optional<store_op> parse_operation(const http_request& request)
{
    const auto segments = path_segments(request.target);
    const auto prefix = query_value(split_target(request.target).query, "prefix");
    if (segments.size() == 1 && prefix && request.method == "GET")
    {
        return segments[0] == "table"     ? std::optional<store_op>{table_list{*prefix}}
               : segments[0] == "objects" ? std::optional<store_op>{object_list{*prefix}}
                                          : std::nullopt;
    }
    if (segments.size() != 2)
    {
        return std::nullopt;
    }
    return segments[0] == "table"     ? table_op(request, segments[1])
           : segments[0] == "objects" ? object_op(request, segments[1])
                                      : std::nullopt;
}

std::string listing_json(const std::vector<table_row>& rows, bool objects)
{
    json document = json::array();
    for (const auto& it : rows)
    {
        document.push_back(objects ? json(it.key)
                                   : json{{"key", it.key}, {"value", it.value}, {"version", it.version}});
    }
    return document.dump();
}

http_response to_response(const store_reply& reply, bool is_create)
{
    switch (reply.status)
    {
    case store_status::ok:
        break;
    case store_status::conflict:
        return json_error(status_precondition_failed, "the condition does not hold");
    case store_status::not_found:
        return json_error(status_not_found, "there is none");
    default:
        return json_error(status_unavailable, "refused");
    }
    http_response response{.status = is_create ? status_created : status_ok,
                           .content_type = "application/octet-stream",
                           .body = reply.value};
    if (reply.version > 0)
    {
        response.headers.push_back({"ETag", '"' + std::to_string(reply.version) + '"'});
    }
    return response;
}

/// @return the rate limit named @a name: absent means unchanged, null means no limit
std::optional<double> parse_rate(const json& document, const char* name, std::optional<double> current)
{
    const auto it = document.find(name);
    if (it == document.end())
    {
        return current;
    }
    return it->is_null() ? std::nullopt : std::optional{it->get<double>()};
}

/// Updates the faults present in the document; the others remain unchanged.
/// @return false if the body is not a JSON object or a member has the wrong type
bool parse_faults(const std::string& body, store_faults& faults)
{
    try
    {
        const auto document = json::parse(body);
        faults.outage = document.value("outage", faults.outage);
        faults.delay = std::chrono::milliseconds{document.value("delay_ms", faults.delay.count())};
        faults.lose_answers = document.value("lose_answers", faults.lose_answers);
        faults.writes_per_second = parse_rate(document, "writes_per_second", faults.writes_per_second);
        faults.reads_per_second = parse_rate(document, "reads_per_second", faults.reads_per_second);
        return true;
    }
    catch (const json::exception&)
    {
        return false;
    }
}

} // namespace

store_http::store_http(boost::asio::io_context& context) : m_context(context) {}

void store_http::handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    if (request.target == "/stats")
    {
        handle_stats(*exchange);
        return;
    }
    if (request.target == "/faults")
    {
        handle_faults(request, *exchange);
        return;
    }
    const auto operation = parse_operation(request);
    if (!operation)
    {
        exchange->respond(json_error(status_bad_request, "no such operation"));
        return;
    }
    auto reply = m_store.apply(*operation, monotonic_now());
    const bool objects = std::holds_alternative<object_list>(*operation);
    if (objects || std::holds_alternative<table_list>(*operation))
    {
        reply.value = listing_json(reply.rows, objects);
    }
    send_response(exchange, reply, std::holds_alternative<object_create>(*operation));
}

void store_http::send_response(const std::shared_ptr<http_exchange>& exchange, const store_reply& reply,
                               bool is_create)
{
    if (reply.status == store_status::outcome_unknown)
    {
        // Destroying the exchange closes the connection without a response.
        return;
    }
    if (m_store.faults().delay.count() == 0)
    {
        exchange->respond(to_response(reply, is_create));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_store.faults().delay);
    timer->async_wait([timer, exchange, response = to_response(reply, is_create)](const auto& /*ec*/)
                      { exchange->respond(response); });
}

void store_http::handle_faults(const http_request& request, http_exchange& exchange)
{
    auto faults = m_store.faults();
    if (!parse_faults(request.body, faults))
    {
        exchange.respond(json_error(status_bad_request, "not an object of faults"));
        return;
    }
    m_store.set_faults(faults);
    exchange.respond(json_response(status_ok, "{}"));
}

void store_http::handle_stats(http_exchange& exchange) const
{
    const auto& stats = m_store.stats();
    exchange.respond(json_response(status_ok, json{{"reads", stats.reads},
                                                   {"writes", stats.writes},
                                                   {"conflicts", stats.conflicts},
                                                   {"refused", stats.refused},
                                                   {"lost_answers", stats.lost_answers}}
                                                  .dump()));
}

} // namespace masticcourse::standins

#include "platform_store_http.hpp"

#include "masticcourse/net/percent.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace masticcourse::standins
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view table_path = "/table";
constexpr std::string_view objects_path = "/objects";

core_time now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return core_time{std::chrono::duration_cast<core_duration>(since_start)};
}

/// @return the version that the request's conditions ask for, or nothing if it has none
std::optional<row_version> expected_version(const http_request& request)
{
    if (request.header("If-None-Match") == "*")
    {
        return row_version{0};
    }
    const auto tag = request.header("If-Match");
    row_version version = 0;
    if (!tag || tag->size() < 3)
    {
        return std::nullopt;
    }
    const auto* const end = tag->data() + tag->size() - 1;
    const auto [it, ec] = std::from_chars(tag->data() + 1, end, version);
    return ec == std::errc{} && it == end ? std::optional{version} : std::nullopt;
}

std::optional<store_op> row_op(const http_request& request, std::string key)
{
    if (request.method == "GET")
    {
        return table_get{std::move(key)};
    }
    const auto expected = expected_version(request);
    if (request.method == "PUT" && expected)
    {
        return table_put{std::move(key), request.body, *expected};
    }
    return std::nullopt;
}

std::optional<store_op> object_op(const http_request& request, std::string key)
{
    if (request.method == "GET")
    {
        return object_get{std::move(key)};
    }
    if (request.method == "DELETE")
    {
        return object_delete{std::move(key)};
    }
    if (request.method == "PUT" && request.header("If-None-Match") == "*")
    {
        return object_create{std::move(key), request.body};
    }
    return std::nullopt;
}

/// @return the operation that a request asks for, or nothing if it asks for none
std::optional<store_op> to_op(const http_request& request)
{
    const auto target = split_target(request.target);
    const bool table = target.path.starts_with(table_path);
    const auto path = table ? table_path : objects_path;
    if (!target.path.starts_with(path))
    {
        return std::nullopt;
    }
    const auto rest = target.path.substr(path.size());
    if (rest.empty() && request.method == "GET")
    {
        auto prefix = query_value(target.query, "prefix").value_or("");
        return table ? store_op{table_list{std::move(prefix)}} : store_op{object_list{std::move(prefix)}};
    }
    auto key = rest.starts_with('/') ? percent_decode(rest.substr(1)) : std::nullopt;
    if (!key)
    {
        return std::nullopt;
    }
    return table ? row_op(request, std::move(*key)) : object_op(request, std::move(*key));
}

std::string rows_as_json(const std::vector<table_row>& rows, bool keys_only)
{
    auto items = json::array();
    for (const auto& it : rows)
    {
        items.push_back(keys_only ? json(it.key)
                                  : json{{"key", it.key}, {"value", it.value}, {"version", it.version}});
    }
    return items.dump();
}

int status_of(const store_op& op, store_status status)
{
    switch (status)
    {
    case store_status::ok:
        return std::holds_alternative<object_create>(op) ? 201 : 200;
    case store_status::conflict:
        return 412;
    case store_status::not_found:
        return 404;
    case store_status::unavailable:
    case store_status::lost:
        break;
    }
    return 503;
}

http_response to_response(const store_op& op, store_reply reply)
{
    http_response response{.status = status_of(op, reply.status),
                           .content_type = "application/octet-stream",
                           .body = std::move(reply.value)};
    const bool objects = std::holds_alternative<object_list>(op);
    if (reply.status == store_status::ok && (objects || std::holds_alternative<table_list>(op)))
    {
        response.content_type = "application/json";
        response.body = rows_as_json(reply.rows, objects);
    }
    if (reply.version != 0)
    {
        response.headers.push_back({"ETag", '"' + std::to_string(reply.version) + '"'});
    }
    return response;
}

std::optional<double> rate_in(const json& document, const char* name, std::optional<double> present)
{
    const auto it = document.find(name);
    if (it == document.end())
    {
        return present;
    }
    return it->is_null() ? std::nullopt : std::optional{it->get<double>()};
}

/// Changes what @a document names and leaves the rest. A rate of null means no limit.
store_faults merge_faults(const json& document, store_faults faults)
{
    faults.outage = document.value("outage", faults.outage);
    faults.delay = std::chrono::milliseconds{document.value("delay_ms", faults.delay.count())};
    faults.lose_answers = document.value("lose_answers", faults.lose_answers);
    faults.writes_per_second = rate_in(document, "writes_per_second", faults.writes_per_second);
    faults.reads_per_second = rate_in(document, "reads_per_second", faults.reads_per_second);
    return faults;
}

std::string stats_as_json(const store_stats& stats)
{
    return json{{"reads", stats.reads},
                {"writes", stats.writes},
                {"conflicts", stats.conflicts},
                {"refused", stats.refused},
                {"lost_answers", stats.lost_answers}}
        .dump();
}

} // namespace

platform_store_http::platform_store_http(boost::asio::io_context& context) : m_context(context) {}

void platform_store_http::handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    if (request.target == "/stats" && request.method == "GET")
    {
        exchange->respond({.body = stats_as_json(stats())});
        return;
    }
    if (request.target == "/faults" && request.method == "POST")
    {
        take_faults(request.body, *exchange);
        return;
    }
    if (const auto op = to_op(request))
    {
        run(*op, exchange);
        return;
    }
    exchange->respond(problem_response({.id = problem_id::malformed_request}));
}

void platform_store_http::set_faults(const store_faults& faults)
{
    const std::scoped_lock lock(m_mutex);
    m_store.set_faults(faults);
}

store_stats platform_store_http::stats()
{
    const std::scoped_lock lock(m_mutex);
    return m_store.stats();
}

void platform_store_http::run(const store_op& op, const std::shared_ptr<http_exchange>& exchange)
{
    store_reply reply;
    std::chrono::milliseconds delay{};
    {
        const std::scoped_lock lock(m_mutex);
        reply = m_store.apply(op, now());
        delay = m_store.faults().delay;
    }
    if (reply.status == store_status::lost)
    {
        // Dropping the exchange closes the connection without an answer.
        return;
    }
    auto response = to_response(op, std::move(reply));
    if (delay.count() == 0)
    {
        exchange->respond(std::move(response));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code) mutable
                      { exchange->respond(std::move(response)); });
}

void platform_store_http::take_faults(const std::string& body, http_exchange& exchange)
{
    try
    {
        const auto document = json::parse(body);
        const std::scoped_lock lock(m_mutex);
        m_store.set_faults(merge_faults(document, m_store.faults()));
    }
    catch (const json::exception& error)
    {
        exchange.respond(problem_response({.id = problem_id::malformed_request, .detail = error.what()}));
        return;
    }
    exchange.respond({.status = 204});
}

} // namespace masticcourse::standins

#include "masticcourse/store/store_client.hpp"

#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/percent.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>
#include <variant>

namespace masticcourse
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

std::string table_path(const std::string& key)
{
    return "/table/" + percent_encode(key);
}

std::string object_path(const std::string& key)
{
    return "/objects/" + percent_encode(key);
}

http_client_request create_condition(http_client_request request)
{
    request.headers.push_back({"If-None-Match", "*"});
    return request;
}

/// The request of each operation.
struct request_visitor
{
    http_client_request operator()(const table_get& op) const
    {
        return {.target = table_path(op.key)};
    }

    http_client_request operator()(const table_put& op) const
    {
        http_client_request request{.method = "PUT", .target = table_path(op.key), .body = op.value};
        if (op.expected == 0)
        {
            return create_condition(std::move(request));
        }
        request.headers.push_back({"If-Match", '"' + std::to_string(op.expected) + '"'});
        return request;
    }

    http_client_request operator()(const table_list& op) const
    {
        return {.target = "/table?prefix=" + percent_encode(op.prefix)};
    }

    http_client_request operator()(const object_create& op) const
    {
        return create_condition({.method = "PUT", .target = object_path(op.key), .body = op.bytes});
    }

    http_client_request operator()(const object_get& op) const
    {
        return {.target = object_path(op.key)};
    }

    http_client_request operator()(const object_delete& op) const
    {
        return {.method = "DELETE", .target = object_path(op.key)};
    }

    http_client_request operator()(const object_list& op) const
    {
        return {.target = "/objects?prefix=" + percent_encode(op.prefix)};
    }
};

store_status status_of(const http_client_reply& reply)
{
    switch (reply.failure)
    {
    case http_failure::connect:
        return store_status::unavailable;
    case http_failure::timeout:
    case http_failure::broken:
        return store_status::lost;
    case http_failure::none:
        break;
    }
    switch (reply.status)
    {
    case status_ok:
    case status_created:
    case status_no_content:
        return store_status::ok;
    case status_not_found:
        return store_status::not_found;
    case status_precondition_failed:
        return store_status::conflict;
    case status_too_many:
    case status_unavailable:
        return store_status::unavailable;
    default:
        // Whatever else it means, it does not say that nothing was written.
        return store_status::lost;
    }
}

row_version version_in(const http_client_reply& reply)
{
    const auto tag = reply.header("ETag").value_or("");
    const auto from = tag.find_first_not_of('"');
    row_version version = 0;
    if (from != std::string::npos)
    {
        std::from_chars(tag.data() + from, tag.data() + tag.size(), version);
    }
    return version;
}

/// Reads a listing: rows as objects, keys of objects as strings.
/// @return false if the answer is no listing
bool read_rows(const std::string& body, std::vector<table_row>& rows)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_array())
    {
        return false;
    }
    for (const auto& it : document)
    {
        if (it.is_string())
        {
            rows.push_back({.key = it.get<std::string>()});
            continue;
        }
        const bool row = it.is_object() && it.contains("key") && it["key"].is_string() &&
                         it.contains("value") && it["value"].is_string() && it.contains("version") &&
                         it["version"].is_number_unsigned();
        if (!row)
        {
            return false;
        }
        rows.push_back(
            {it["key"].get<std::string>(), it["value"].get<std::string>(), it["version"].get<row_version>()});
    }
    return true;
}

store_reply reply_of(http_client_reply answer, bool lists)
{
    store_reply reply{.status = status_of(answer)};
    if (reply.status != store_status::ok)
    {
        return reply;
    }
    reply.version = version_in(answer);
    if (lists && !read_rows(answer.body, reply.rows))
    {
        reply.status = store_status::unavailable;
    }
    if (!lists)
    {
        reply.value = std::move(answer.body);
    }
    return reply;
}

} // namespace

store_client::store_client(http_client& client, std::string address)
    : m_client(client), m_address(std::move(address))
{
}

void store_client::run(const store_op& op, std::chrono::milliseconds timeout, reply_callback on_reply)
{
    auto request = std::visit(request_visitor{}, op);
    request.address = m_address;
    request.timeout = timeout;
    const bool lists = std::holds_alternative<table_list>(op) || std::holds_alternative<object_list>(op);
    m_client.send(std::move(request), [on_reply = std::move(on_reply), lists](http_client_reply answer)
                  { on_reply(reply_of(std::move(answer), lists)); });
}

} // namespace masticcourse

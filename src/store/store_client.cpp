#include "masticcourse/store/store_client.hpp"

#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/percent.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdint>
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
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::string table_path(const std::string& key)
{
    return "/table/" + percent_encode(key);
}

std::string object_path(const std::string& key)
{
    return "/objects/" + percent_encode(key);
}

http_client_request with_absent_condition(http_client_request request)
{
    request.headers.push_back({"If-None-Match", "*"});
    return request;
}

/// Builds the HTTP request of each operation.
struct request_builder
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
            return with_absent_condition(std::move(request));
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
        return with_absent_condition({.method = "PUT", .target = object_path(op.key), .body = op.bytes});
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

store_status to_store_status(const http_client_reply& reply)
{
    switch (reply.failure)
    {
    case http_failure::connect:
        return store_status::unavailable;
    case http_failure::timeout:
    case http_failure::broken:
        return store_status::outcome_unknown;
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
    case status_too_many_requests:
    case status_unavailable:
        return store_status::unavailable;
    default:
        // An unexpected status does not guarantee that nothing was written.
        return store_status::outcome_unknown;
    }
}

row_version parse_etag_version(const http_client_reply& reply)
{
    const auto etag = reply.header("ETag").value_or("");
    const auto from = etag.find_first_not_of('"');
    row_version version = 0;
    if (from != std::string::npos)
    {
        std::from_chars(etag.data() + from, etag.data() + etag.size(), version);
    }
    return version;
}

/// Parses a listing: table rows are JSON objects, object keys are JSON strings.
/// @return false if @a body is not a listing
bool parse_listing(const std::string& body, std::vector<table_row>& rows)
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
        const bool is_row = it.is_object() && it.contains("key") && it["key"].is_string() &&
                            it.contains("value") && it["value"].is_string() && it.contains("version") &&
                            it["version"].is_number_unsigned();
        if (!is_row)
        {
            return false;
        }
        rows.push_back(
            {it["key"].get<std::string>(), it["value"].get<std::string>(), it["version"].get<row_version>()});
    }
    return true;
}

/// What the body of a successful response holds.
enum class body_content : std::uint8_t
{
    nothing,
    /// Bytes of a row or object.
    value,
    listing,
};

struct content_of_response
{
    body_content operator()(const table_get& /*op*/) const
    {
        return body_content::value;
    }
    body_content operator()(const object_get& /*op*/) const
    {
        return body_content::value;
    }
    body_content operator()(const table_list& /*op*/) const
    {
        return body_content::listing;
    }
    body_content operator()(const object_list& /*op*/) const
    {
        return body_content::listing;
    }
    template <typename Write>
    body_content operator()(const Write& /*op*/) const
    {
        return body_content::nothing;
    }
};

store_reply to_store_reply(http_client_reply response, body_content content)
{
    store_reply reply{.status = to_store_status(response)};
    if (reply.status != store_status::ok)
    {
        return reply;
    }
    if (content == body_content::value && response.body_report.framing == body_framing::until_close)
    {
        // Any bytes can be a value, so nothing shows whether the store sent all of them before it closed the
        // connection.
        reply.status = store_status::outcome_unknown;
        return reply;
    }
    reply.version = parse_etag_version(response);
    if (content == body_content::listing && !parse_listing(response.body, reply.rows))
    {
        reply.status = store_status::unavailable;
    }
    if (content == body_content::value)
    {
        reply.value = std::move(response.body);
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
    auto request = std::visit(request_builder{}, op);
    request.address = m_address;
    request.timeout = timeout;
    m_client.send(std::move(request),
                  [on_reply = std::move(on_reply),
                   content = std::visit(content_of_response{}, op)](http_client_reply response)
                  { on_reply(to_store_reply(std::move(response), content)); });
}

} // namespace masticcourse

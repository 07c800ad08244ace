#include "masticcourse/store/store_client.hpp"

#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/percent.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr int status_not_found = 404;
constexpr int status_conflict = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int success_class = 2;

std::string row_target(const std::string& key)
{
    return "/table/" + percent_encode(key);
}

std::string object_target(const std::string& key)
{
    return "/objects/" + percent_encode(key);
}

http_header condition_of(row_version expected)
{
    return expected == 0 ? http_header{"If-None-Match", "*"}
                         : http_header{"If-Match", '"' + std::to_string(expected) + '"'};
}

/// Writes each operation as a request; what is left unset is the same for all.
struct request_writer
{
    http_client_request operator()(const table_get& op) const
    {
        return {.target = row_target(op.key)};
    }

    http_client_request operator()(const table_put& op) const
    {
        return {.method = "PUT",
                .target = row_target(op.key),
                .body = op.value,
                .headers = {condition_of(op.expected)}};
    }

    http_client_request operator()(const table_list& op) const
    {
        return {.target = "/table?prefix=" + percent_encode(op.prefix)};
    }

    http_client_request operator()(const object_create& op) const
    {
        return {
            .method = "PUT", .target = object_target(op.key), .body = op.bytes, .headers = {condition_of(0)}};
    }

    http_client_request operator()(const object_get& op) const
    {
        return {.target = object_target(op.key)};
    }

    http_client_request operator()(const object_delete& op) const
    {
        return {.method = "DELETE", .target = object_target(op.key)};
    }

    http_client_request operator()(const object_list& op) const
    {
        return {.target = "/objects?prefix=" + percent_encode(op.prefix)};
    }
};

/// A refusal tells that nothing was written; any other failure leaves that open.
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
    case status_not_found:
        return store_status::not_found;
    case status_conflict:
        return store_status::conflict;
    case status_too_many:
    case status_unavailable:
        return store_status::unavailable;
    default:
        return reply.status / 100 == success_class ? store_status::ok : store_status::lost;
    }
}

row_version version_in(const std::optional<std::string>& tag)
{
    row_version version = 0;
    if (tag && tag->size() > 2)
    {
        // The tag is the version between quotes.
        std::from_chars(tag->data() + 1, tag->data() + tag->size() - 1, version);
    }
    return version;
}

table_row to_row(const nlohmann::json& item)
{
    return {.key = item.at("key"), .value = item.at("value"), .version = item.at("version")};
}

table_row to_object_row(const nlohmann::json& item)
{
    return {.key = item};
}

/// @throws nlohmann::json::exception if @a body is not what the service promises
template <typename Convert>
std::vector<table_row> parse_rows(const std::string& body, Convert convert)
{
    const auto items = nlohmann::json::parse(body);
    std::vector<table_row> rows;
    std::ranges::transform(items, std::back_inserter(rows), convert);
    return rows;
}

enum class reply_form : std::uint8_t
{
    value,
    rows,
    keys,
};

reply_form form_of(const store_op& op)
{
    if (std::holds_alternative<table_list>(op))
    {
        return reply_form::rows;
    }
    return std::holds_alternative<object_list>(op) ? reply_form::keys : reply_form::value;
}

store_reply to_reply(http_client_reply reply, reply_form form)
{
    store_reply result{.status = status_of(reply), .version = version_in(reply.header("ETag"))};
    if (result.status != store_status::ok)
    {
        return result;
    }
    if (form == reply_form::value)
    {
        result.value = std::move(reply.body);
        return result;
    }
    try
    {
        result.rows =
            form == reply_form::rows ? parse_rows(reply.body, to_row) : parse_rows(reply.body, to_object_row);
    }
    catch (const nlohmann::json::exception&)
    {
        result.status = store_status::lost;
    }
    return result;
}

} // namespace

store_client::store_client(http_client& client, std::string address)
    : m_client(client), m_address(std::move(address))
{
}

void store_client::run(const store_op& op, std::chrono::milliseconds timeout, reply_callback on_reply)
{
    auto request = std::visit(request_writer{}, op);
    request.address = m_address;
    request.timeout = timeout;
    m_client.send(std::move(request),
                  [form = form_of(op), on_reply = std::move(on_reply)](http_client_reply reply)
                  { on_reply(to_reply(std::move(reply), form)); });
}

} // namespace masticcourse

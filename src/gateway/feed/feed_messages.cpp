#include "masticcourse/gateway/feed/feed_messages.hpp"

#include "../cbor_messages.hpp"

#include <cstdint>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_cbor;
using detail::encode_cbor;
using detail::require_array;
using detail::to_unsigned;
using nlohmann::json;

milliseconds to_duration(const json& it)
{
    return milliseconds{to_unsigned<std::uint32_t>(it)};
}

json to_json(const stored_row& row)
{
    // Values are arbitrary bytes.
    return json::array(
        {row.name.key, json::binary({row.value.begin(), row.value.end()}), row.version, row.removed});
}

stored_row to_row(const json& it, const std::string& table)
{
    require_array(it, 4);
    const auto& value = it.at(1).get_binary();
    return {.name = {table, it.at(0).get<std::string>()},
            .value = {value.begin(), value.end()},
            .version = to_unsigned<row_version>(it.at(2)),
            .removed = it.at(3).get<bool>()};
}

} // namespace

std::string encode(const relay_request& request)
{
    return encode_cbor(json::array({request.table, request.after, request.wait.count()}));
}

std::optional<relay_request> decode_relay_request(const std::string& bytes)
{
    return decode_cbor(bytes,
                       [](const json& it)
                       {
                           require_array(it, 3);
                           return relay_request{.table = it.at(0).get<std::string>(),
                                                .after = to_unsigned<row_version>(it.at(1)),
                                                .wait = to_duration(it.at(2))};
                       });
}

std::string encode(const relay_reply& reply)
{
    json rows = json::array();
    for (const auto& it : reply.rows)
    {
        rows.push_back(to_json(it));
    }
    return encode_cbor(json::array(
        {reply.snapshot, std::move(rows), reply.version, reply.age.count(), reply.since_failure.count()}));
}

std::optional<relay_reply> decode_relay_reply(const std::string& bytes, const std::string& table)
{
    return decode_cbor(bytes,
                       [&table](const json& it)
                       {
                           require_array(it, 5);
                           relay_reply reply{.snapshot = it.at(0).get<bool>(),
                                             .version = to_unsigned<row_version>(it.at(2)),
                                             .age = to_duration(it.at(3)),
                                             .since_failure = to_duration(it.at(4))};
                           for (const auto& row : it.at(1))
                           {
                               reply.rows.push_back(to_row(row, table));
                           }
                           return reply;
                       });
}

} // namespace masticcourse::gateway

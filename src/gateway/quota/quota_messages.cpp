#include "masticcourse/gateway/quota/quota_messages.hpp"

#include "../cbor_messages.hpp"

#include <cstdint>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_cbor;
using detail::encode_cbor;
using detail::require_array;
using detail::to_count;
using nlohmann::json;

milliseconds to_duration(const json& it)
{
    return milliseconds{to_count(it)};
}

grant_request to_grant_request(const json& it)
{
    require_array(it, 5);
    return {.slice = {.workspace = {it.at(0).get<std::string>()}, .index = to_count(it.at(1))},
            .demand = {.waiting = {.starts = to_count(it.at(2)), .others = to_count(it.at(3))},
                       .prefetch = to_count(it.at(4))}};
}

grant_response to_grant_response(const json& it)
{
    if (it.is_array() && it.empty())
    {
        return not_holder{};
    }
    require_array(it, 4);
    return slice_grant{.granted = {.starts = to_count(it.at(0)), .others = to_count(it.at(1))},
                       .starts_retry_after = to_duration(it.at(2)),
                       .others_retry_after = to_duration(it.at(3))};
}

} // namespace

std::string encode(const grant_request& request)
{
    const auto& [slice, demand] = request;
    return encode_cbor(json::array(
        {slice.workspace.value, slice.index, demand.waiting.starts, demand.waiting.others, demand.prefetch}));
}

std::optional<grant_request> decode_grant_request(const std::string& bytes)
{
    return decode_cbor(bytes, to_grant_request);
}

std::string encode(const grant_response& response)
{
    const auto* const grant = std::get_if<slice_grant>(&response);
    if (grant == nullptr)
    {
        return encode_cbor(json::array());
    }
    return encode_cbor(json::array({grant->granted.starts, grant->granted.others,
                                    grant->starts_retry_after.count(), grant->others_retry_after.count()}));
}

std::optional<grant_response> decode_grant_response(const std::string& bytes)
{
    return decode_cbor(bytes, to_grant_response);
}

} // namespace masticcourse::gateway

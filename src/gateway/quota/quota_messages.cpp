#include "masticcourse/gateway/quota/quota_messages.hpp"

#include "../cbor_messages.hpp"

#include <cstdint>
#include <stdexcept>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_cbor;
using detail::encode_cbor;
using nlohmann::json;

/// @throws std::invalid_argument unless it is an array of that size
void expect_array(const json& it, std::size_t size)
{
    if (!it.is_array() || it.size() != size)
    {
        throw std::invalid_argument("no such array");
    }
}

/// @throws std::invalid_argument unless it is a count
std::uint32_t to_count(const json& it)
{
    if (!it.is_number_unsigned())
    {
        throw std::invalid_argument("no count");
    }
    return it.get<std::uint32_t>();
}

milliseconds to_wait(const json& it)
{
    return milliseconds{to_count(it)};
}

slice_question to_question(const json& it)
{
    expect_array(it, 5);
    return {.slice = {.workspace = {it.at(0).get<std::string>()}, .index = to_count(it.at(1))},
            .demand = {.waiting = {.starts = to_count(it.at(2)), .others = to_count(it.at(3))},
                       .ahead = to_count(it.at(4))}};
}

slice_answer to_answer(const json& it)
{
    if (it.is_array() && it.empty())
    {
        return not_holder{};
    }
    expect_array(it, 4);
    return slice_grant{.granted = {.starts = to_count(it.at(0)), .others = to_count(it.at(1))},
                       .starts_after = to_wait(it.at(2)),
                       .others_after = to_wait(it.at(3))};
}

} // namespace

std::string encode(const slice_question& question)
{
    const auto& [slice, demand] = question;
    return encode_cbor(json::array(
        {slice.workspace.value, slice.index, demand.waiting.starts, demand.waiting.others, demand.ahead}));
}

std::optional<slice_question> decode_slice_question(const std::string& bytes)
{
    return decode_cbor(bytes, to_question);
}

std::string encode(const slice_answer& answer)
{
    const auto* const grant = std::get_if<slice_grant>(&answer);
    if (grant == nullptr)
    {
        return encode_cbor(json::array());
    }
    return encode_cbor(json::array({grant->granted.starts, grant->granted.others, grant->starts_after.count(),
                                    grant->others_after.count()}));
}

std::optional<slice_answer> decode_slice_answer(const std::string& bytes)
{
    return decode_cbor(bytes, to_answer);
}

} // namespace masticcourse::gateway

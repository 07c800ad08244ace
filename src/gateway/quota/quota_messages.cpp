#include "masticcourse/gateway/quota/quota_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace masticcourse::gateway
{

namespace
{

using nlohmann::json;

std::string to_bytes(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

/// @return the array that @a bytes are, if it has as many members
std::optional<json> to_array(const std::string& bytes, std::size_t members)
{
    auto document = json::from_cbor(bytes, true, false);
    return document.is_array() && document.size() == members ? std::optional{std::move(document)}
                                                             : std::nullopt;
}

bool all_counts(const json& array, std::size_t from)
{
    return std::all_of(array.begin() + static_cast<std::ptrdiff_t>(from), array.end(),
                       [](const json& it) { return it.is_number_unsigned(); });
}

milliseconds to_wait(const json& it)
{
    return milliseconds{it.get<milliseconds::rep>()};
}

} // namespace

std::string encode(const slice_question& question)
{
    const auto& [slice, demand] = question;
    return to_bytes(json::array(
        {slice.workspace.value, slice.index, demand.waiting.starts, demand.waiting.others, demand.ahead}));
}

std::optional<slice_question> decode_slice_question(const std::string& bytes)
{
    const auto array = to_array(bytes, 5);
    if (!array || !array->at(0).is_string() || !all_counts(*array, 1))
    {
        return std::nullopt;
    }
    const auto count = [&array](std::size_t n) { return array->at(n).get<std::uint32_t>(); };
    return slice_question{.slice = {.workspace = {array->at(0).get<std::string>()}, .index = count(1)},
                          .demand = {.waiting = {.starts = count(2), .others = count(3)}, .ahead = count(4)}};
}

std::string encode(const slice_answer& answer)
{
    const auto* const grant = std::get_if<slice_grant>(&answer);
    if (grant == nullptr)
    {
        return to_bytes(json::array());
    }
    return to_bytes(json::array({grant->granted.starts, grant->granted.others, grant->starts_after.count(),
                                 grant->others_after.count()}));
}

std::optional<slice_answer> decode_slice_answer(const std::string& bytes)
{
    if (to_array(bytes, 0))
    {
        return not_holder{};
    }
    const auto array = to_array(bytes, 4);
    if (!array || !all_counts(*array, 0))
    {
        return std::nullopt;
    }
    return slice_grant{
        .granted = {.starts = array->at(0).get<std::uint32_t>(), .others = array->at(1).get<std::uint32_t>()},
        .starts_after = to_wait(array->at(2)),
        .others_after = to_wait(array->at(3))};
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/turn_record.hpp"

#include "cbor_messages.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

const std::string turn_table = "turns";
/// Separates a turn's id from the number of a further chunk; ids never contain this character.
constexpr char chunk_separator = '~';

} // namespace

std::size_t prompt_size(const turn_record& turn)
{
    return turn.input.size() + turn.output.size();
}

std::size_t memory_size(const std::vector<request_id>& ids)
{
    const auto add = [](std::size_t sum, const request_id& it) { return sum + sizeof(it) + it.value.size(); };
    return std::accumulate(ids.begin(), ids.end(), std::size_t{0}, add);
}

row_name chunk_row(const request_id& turn, std::size_t chunk)
{
    return {turn_table, chunk == 0 ? turn.value : turn.value + chunk_separator + std::to_string(chunk)};
}

std::vector<std::string> encode_turn(const turn_record& turn, std::size_t row_bytes)
{
    nlohmann::json ancestors = nlohmann::json::array();
    std::ranges::for_each(turn.ancestors, [&](const auto& it) { ancestors.push_back(it.value); });
    nlohmann::json document{{"ancestors", std::move(ancestors)},
                            {"input", nlohmann::json::binary({turn.input.begin(), turn.input.end()})},
                            {"output", nlohmann::json::binary({turn.output.begin(), turn.output.end()})}};
    if (!turn.domain.value.empty())
    {
        document["domain"] = turn.domain.value;
    }
    if (turn.tokens)
    {
        document["tokens"] = *turn.tokens;
    }
    if (turn.history_size)
    {
        document["history"] = *turn.history_size;
    }
    std::string bytes;
    nlohmann::json::to_cbor(document, bytes);
    std::vector<std::string> chunks;
    for (std::size_t at = 0; at < bytes.size(); at += row_bytes)
    {
        chunks.push_back(bytes.substr(at, row_bytes));
    }
    return chunks;
}

std::optional<turn_record> decode_turn(const std::vector<std::string>& chunks)
{
    const auto bytes = std::accumulate(chunks.begin(), chunks.end(), std::string{});
    const auto decoded =
        detail::decode_cbor(bytes, [](nlohmann::json&& document) { return std::move(document); });
    if (!decoded)
    {
        return std::nullopt;
    }
    const auto& document = *decoded;
    const auto is_binary = [&](const char* name)
    { return document.contains(name) && document[name].is_binary(); };
    if (!document.is_object() || !document.contains("ancestors") || !document["ancestors"].is_array() ||
        !is_binary("input") || !is_binary("output"))
    {
        return std::nullopt;
    }
    turn_record turn;
    for (const auto& it : document["ancestors"])
    {
        if (!it.is_string())
        {
            return std::nullopt;
        }
        turn.ancestors.push_back({it.get<std::string>()});
    }
    const auto text = [&](const char* name)
    {
        const auto& binary = document[name].get_binary();
        return std::string(binary.begin(), binary.end());
    };
    turn.input = text("input");
    turn.output = text("output");
    if (document.contains("domain") && document["domain"].is_string())
    {
        turn.domain = {document["domain"].get<std::string>()};
    }
    if (document.contains("tokens") && document["tokens"].is_number_integer())
    {
        turn.tokens = document["tokens"].get<token_count>();
    }
    if (document.contains("history") && document["history"].is_number_unsigned())
    {
        turn.history_size = document["history"].get<std::size_t>();
    }
    return turn;
}

} // namespace masticcourse::gateway

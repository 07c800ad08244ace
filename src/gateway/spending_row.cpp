#include "masticcourse/gateway/spending_row.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace masticcourse::gateway
{

token_count spending_row::committed() const
{
    return std::accumulate(reserved.begin(), reserved.end(), spent,
                           [](token_count sum, const auto& it) { return sum + it.tokens; });
}

bool spending_row::has_reservation(const request_id& request) const
{
    return std::ranges::find(reserved, request, &token_reservation::request) != reserved.end();
}

void spending_row::settle(const request_id& request, token_count used_tokens)
{
    const auto erased =
        std::erase_if(reserved, [&](const token_reservation& it) { return it.request == request; });
    spent += erased > 0 ? used_tokens : 0;
}

std::string encode(const spending_row& row)
{
    nlohmann::json reserved = nlohmann::json::object();
    std::ranges::for_each(row.reserved, [&](const auto& it) { reserved[it.request.value] = it.tokens; });
    return nlohmann::json{{"spent", row.spent}, {"reserved", reserved}}.dump();
}

std::optional<spending_row> decode_spending(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("spent") || !document["spent"].is_number_integer() ||
        !document.contains("reserved") || !document["reserved"].is_object())
    {
        return std::nullopt;
    }
    spending_row row{.spent = document["spent"].get<token_count>()};
    for (const auto& [request, tokens] : document["reserved"].items())
    {
        if (!tokens.is_number_integer())
        {
            return std::nullopt;
        }
        row.reserved.push_back({{request}, tokens.get<token_count>()});
    }
    return row;
}

} // namespace masticcourse::gateway

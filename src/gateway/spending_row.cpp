#include "masticcourse/gateway/spending_row.hpp"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <numeric>

namespace masticcourse::gateway
{

namespace
{

/// Recovered turns remembered per row. A gateway learns within the turn's lifetime that its reservation was
/// written, and only a few of a program's turns are recovered in that time.
constexpr std::size_t max_recovered = 16;

} // namespace

token_count spending_row::committed() const
{
    return std::accumulate(reserved.begin(), reserved.end(), spent,
                           [](token_count sum, const auto& it) { return sum + it.tokens; });
}

bool spending_row::has_reservation(const request_id& request) const
{
    return std::ranges::find(reserved, request, &token_reservation::request) != reserved.end();
}

bool spending_row::accounts_for(const request_id& request) const
{
    return has_reservation(request) || std::ranges::find(recovered, request) != recovered.end();
}

void spending_row::recover(const request_id& request, token_count used_tokens)
{
    if (!has_reservation(request))
    {
        return;
    }
    settle(request, used_tokens);
    recovered.push_back(request);
    if (recovered.size() > max_recovered)
    {
        recovered.erase(recovered.begin());
    }
}

void spending_row::settle(const request_id& request, token_count used_tokens)
{
    const auto erased =
        std::erase_if(reserved, [&](const token_reservation& it) { return it.request == request; });
    spent += erased > 0 ? used_tokens : 0;
}

void spending_row::charge(const request_id& request, token_count used_tokens)
{
    if (has_reservation(request))
    {
        settle(request, used_tokens);
    }
    else
    {
        spent += used_tokens;
    }
}

std::string encode(const spending_row& row)
{
    nlohmann::json reserved = nlohmann::json::object();
    std::ranges::for_each(row.reserved, [&](const auto& it) { reserved[it.request.value] = it.tokens; });
    nlohmann::json document{{"spent", row.spent}, {"reserved", reserved}};
    if (!row.recovered.empty())
    {
        std::ranges::for_each(row.recovered,
                              [&](const auto& it) { document["recovered"].push_back(it.value); });
    }
    return document.dump();
}

std::optional<spending_row> decode_spending(const std::string& text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("spent") || !document["spent"].is_number_integer() ||
        !document.contains("reserved") || !document["reserved"].is_object())
    {
        return std::nullopt;
    }
    // Gateways of earlier versions write no recovered turns.
    const auto recovered = document.value("recovered", nlohmann::json::array());
    const auto is_text = [](const auto& it) { return it.is_string(); };
    if (!recovered.is_array() || !std::ranges::all_of(recovered, is_text))
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
    std::ranges::for_each(recovered,
                          [&](const auto& it) { row.recovered.push_back({it.template get<std::string>()}); });
    return row;
}

} // namespace masticcourse::gateway

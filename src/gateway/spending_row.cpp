#include "masticcourse/gateway/spending_row.hpp"

#include "../codec/bounded_json.hpp"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <numeric>

namespace masticcourse::gateway
{

namespace
{

/// Counted turns remembered per row. A gateway learns within the turn's lifetime that its reservation or its
/// charge was written, and only a few of a program's turns are recovered or charged in that time.
constexpr std::size_t max_counted = 16;
/// Name of their list in stored rows.
constexpr const char* counted_field = "recovered";

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
    return has_reservation(request) || std::ranges::find(counted, request) != counted.end();
}

void spending_row::add_counted(const request_id& request)
{
    counted.push_back(request);
    if (counted.size() > max_counted)
    {
        counted.erase(counted.begin());
    }
}

void spending_row::charge(const request_id& request, token_count used_tokens)
{
    if (has_reservation(request))
    {
        settle(request, used_tokens);
        add_counted(request);
    }
    else if (!accounts_for(request))
    {
        spent += used_tokens;
        add_counted(request);
    }
}

void spending_row::recover(const request_id& request, token_count used_tokens)
{
    if (has_reservation(request))
    {
        settle(request, used_tokens);
        add_counted(request);
    }
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
    nlohmann::json document{{"spent", row.spent}, {"reserved", reserved}};
    std::ranges::for_each(row.counted, [&](const auto& it) { document[counted_field].push_back(it.value); });
    return document.dump();
}

std::optional<spending_row> decode_spending(const std::string& text)
{
    const auto document = codec::parse_bounded(text);
    if (!document.is_object() || !document.contains("spent") || !document["spent"].is_number_integer() ||
        !document.contains("reserved") || !document["reserved"].is_object())
    {
        return std::nullopt;
    }
    // Gateways of earlier versions write no counted turns.
    const auto counted = document.value(counted_field, nlohmann::json::array());
    const auto is_text = [](const auto& it) { return it.is_string(); };
    if (!counted.is_array() || !std::ranges::all_of(counted, is_text))
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
    std::ranges::for_each(counted,
                          [&](const auto& it) { row.counted.push_back({it.template get<std::string>()}); });
    return row;
}

} // namespace masticcourse::gateway

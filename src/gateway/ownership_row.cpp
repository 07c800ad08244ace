#include "masticcourse/gateway/ownership_row.hpp"

#include "../codec/bounded_json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

nlohmann::json to_json(const bucket_table& buckets)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& it : buckets)
    {
        list.push_back(it ? nlohmann::json{it->address, it->incarnation} : nlohmann::json{});
    }
    return list;
}

std::optional<bucket_table> to_buckets(const nlohmann::json& list, std::size_t count)
{
    if (!list.is_array() || list.size() != count)
    {
        return std::nullopt;
    }
    bucket_table buckets;
    for (const auto& it : list)
    {
        const bool held = it.is_array() && it.size() == 2 && it[0].is_string() && it[1].is_string();
        if (!held && !it.is_null())
        {
            return std::nullopt;
        }
        buckets.push_back(
            held ? std::optional{gateway_incarnation{it[0].get<std::string>(), it[1].get<std::string>()}}
                 : std::nullopt);
    }
    return buckets;
}

} // namespace

std::string encode_ownership(const ownership_row& row)
{
    auto buckets = to_json(row.buckets);
    if (row.renewals.empty() && row.claims.empty())
    {
        return buckets.dump();
    }
    nlohmann::json document{{"buckets", buckets}, {"renewals", row.renewals}};
    if (!row.claims.empty())
    {
        document["claims"] = row.claims;
    }
    return document.dump();
}

std::optional<ownership_row> decode_ownership(const std::string& text, std::size_t buckets)
{
    const auto document = codec::parse_bounded(text);
    // Rows without renewals and claims are plain arrays.
    const bool whole = document.is_object() && document.contains("buckets") && document.contains("renewals");
    auto table = to_buckets(whole ? document["buckets"] : document, buckets);
    if (!table)
    {
        return std::nullopt;
    }
    ownership_row row{.buckets = std::move(*table)};
    if (!whole)
    {
        return row;
    }
    const auto& counts = document["renewals"];
    const auto claims = document.value("claims", nlohmann::json::object());
    const bool valid = counts.is_object() && claims.is_object() &&
                       std::ranges::all_of(counts, [](const auto& it) { return it.is_number_unsigned(); }) &&
                       std::ranges::all_of(claims, [](const auto& it) { return it.is_string(); });
    if (!valid)
    {
        return std::nullopt;
    }
    row.renewals = counts.get<std::map<std::string, std::uint64_t>>();
    row.claims = claims.get<std::map<std::string, std::string>>();
    return row;
}

} // namespace masticcourse::gateway

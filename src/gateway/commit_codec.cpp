// Wire format of changes, their results, cached rows and overdrafts between gateways: CBOR arrays whose
// elements have a fixed order.
#include "cbor_messages.hpp"

#include "masticcourse/gateway/collected_rows.hpp"
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/overdraft.hpp"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_array;
using detail::decode_single;
using detail::encode_cbor;
using detail::to_integer;
using nlohmann::json;

json to_json(const std::string& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

std::string to_text(const json& it)
{
    const auto& bytes = it.get_binary();
    return {bytes.begin(), bytes.end()};
}

json to_json(const row_name& name)
{
    return json::array({name.table, name.key});
}

row_name to_name(const json& it)
{
    return {it.at(0).get<std::string>(), it.at(1).get<std::string>()};
}

json to_json(const routed_change& it, time_point now)
{
    json puts = json::array();
    std::ranges::for_each(it.change.puts,
                          [&](const row_put& put) {
                              puts.push_back(json::array({to_json(put.name), to_json(put.value)}));
                          });
    const auto& condition = it.change.condition;
    const auto lifetime_ms = std::chrono::floor<milliseconds>(it.change.expires - now).count();
    return json::array({it.partition,
                        condition ? json::array({to_json(condition->name), condition->version}) : json{},
                        std::move(puts), lifetime_ms});
}

routed_change to_change(const json& it, time_point now)
{
    routed_change routed{.partition = it.at(0).get<std::string>()};
    if (!it.at(1).is_null())
    {
        routed.change.condition = row_condition{to_name(it.at(1).at(0)), it.at(1).at(1).get<row_version>()};
    }
    for (const auto& put : it.at(2))
    {
        routed.change.puts.push_back({to_name(put.at(0)), to_text(put.at(1))});
    }
    routed.change.expires = now + milliseconds{it.at(3).get<milliseconds::rep>()};
    return routed;
}

json to_json(const stored_row& it)
{
    return json::array({to_json(it.name), to_json(it.value), it.version});
}

stored_row to_row(const json& it)
{
    return {.name = to_name(it.at(0)), .value = to_text(it.at(1)), .version = it.at(2).get<row_version>()};
}

json to_json(const change_result& it)
{
    return json::array({static_cast<int>(it.outcome), it.version, it.current ? to_json(*it.current) : json{},
                        static_cast<int>(it.current_source)});
}

/// @param last the greatest enumerator
/// @throws std::out_of_range if the number corresponds to no enumerator
template <typename Enum>
Enum to_enum(const json& it, Enum last)
{
    const auto number = to_integer(it);
    if (number < 0 || number > static_cast<std::int64_t>(last))
    {
        throw std::out_of_range("enumeration");
    }
    return static_cast<Enum>(number);
}

change_result to_result(const json& it)
{
    change_result result{.outcome = to_enum(it.at(0), store_outcome::unknown),
                         .version = it.at(1).get<row_version>()};
    if (const auto& row = it.at(2); !row.is_null())
    {
        result.current = to_row(row);
    }
    // Gateways of earlier versions do not state the source.
    constexpr std::size_t source_index = 3;
    if (it.size() > source_index)
    {
        result.current_source = to_enum(it.at(source_index), row_source::store);
    }
    return result;
}

} // namespace

std::string encode_query(const row_query& query)
{
    return encode_cbor(json::array({json::array({query.table, query.partition, query.from, query.to})}));
}

std::optional<row_query> decode_query(const std::string& bytes)
{
    return decode_single(bytes,
                         [](const json& it)
                         {
                             return row_query{.table = it.at(0).get<std::string>(),
                                              .partition = it.at(1).get<std::string>(),
                                              .from = it.at(2).get<std::string>(),
                                              .to = it.at(3).get<std::string>(),
                                              .allow_cached = true};
                         });
}

std::string encode(const overdraft_message& message)
{
    return encode_cbor(json::array({json::array({static_cast<int>(message.operation), message.program.value,
                                                 message.request.value, message.tokens})}));
}

std::optional<overdraft_message> decode_overdraft(const std::string& bytes)
{
    return decode_single(bytes,
                         [](const json& it)
                         {
                             return overdraft_message{.operation =
                                                          to_enum(it.at(0), overdraft_operation::settle),
                                                      .program = {it.at(1).get<std::string>()},
                                                      .request = {it.at(2).get<std::string>()},
                                                      .tokens = to_integer(it.at(3))};
                         });
}

std::string encode_grant(token_count granted)
{
    return encode_cbor(json::array({granted}));
}

std::optional<token_count> decode_grant(const std::string& bytes)
{
    return decode_single(bytes, to_integer);
}

std::string encode_rows(const std::vector<stored_row>& rows)
{
    json document = json::array();
    std::ranges::for_each(rows, [&](const auto& it) { document.push_back(to_json(it)); });
    return encode_cbor(document);
}

std::optional<std::vector<stored_row>> decode_rows(const std::string& bytes)
{
    return decode_array(bytes, to_row);
}

std::string encode_changes(const std::vector<routed_change>& changes, time_point now)
{
    json document = json::array();
    std::ranges::for_each(changes, [&](const auto& it) { document.push_back(to_json(it, now)); });
    return encode_cbor(document);
}

std::optional<std::vector<routed_change>> decode_changes(const std::string& bytes, time_point now)
{
    return decode_array(bytes, [now](const json& it) { return to_change(it, now); });
}

std::string encode_results(const std::vector<change_result>& results)
{
    json document = json::array();
    std::ranges::for_each(results, [&](const auto& it) { document.push_back(to_json(it)); });
    return encode_cbor(document);
}

std::optional<std::vector<change_result>> decode_results(const std::string& bytes)
{
    return decode_array(bytes, [](const json& it) { return to_result(it); });
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/poison_messages.hpp"

#include "cbor_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_cbor;
using detail::encode_cbor;
using detail::require_array;
using detail::to_count;
using nlohmann::json;

json from_report(const suspicion_report& it)
{
    return json::array({to_string(it.request), it.state.generation, it.state.ends,
                        static_cast<std::uint64_t>(std::max(it.age, milliseconds{0}).count())});
}

suspicion_report to_report(const json& it)
{
    require_array(it, 4);
    const auto request = parse_fingerprint(it.at(0).get<std::string>());
    if (!request)
    {
        throw std::invalid_argument("not a fingerprint");
    }
    return {.request = *request,
            .state = {.generation = to_count(it.at(1)), .ends = to_count(it.at(2))},
            .age = milliseconds{to_count(it.at(3))}};
}

json from_reports(const std::vector<suspicion_report>& reports)
{
    auto document = json::array();
    std::ranges::transform(reports, std::back_inserter(document), from_report);
    return document;
}

std::vector<suspicion_report> to_reports(const json& it)
{
    if (!it.is_array() || it.size() > max_suspicion_reports)
    {
        throw std::invalid_argument("not a list of reports");
    }
    std::vector<suspicion_report> reports;
    std::ranges::transform(it, std::back_inserter(reports), to_report);
    return reports;
}

} // namespace

std::string encode(const suspicion_news& news)
{
    return encode_cbor(json::array({news.sender, news.wants_all, from_reports(news.reports)}));
}

std::string encode(const suspicion_reply& reply)
{
    return encode_cbor(json::array({from_reports(reply.reports)}));
}

std::optional<suspicion_news> decode_suspicion_news(const std::string& bytes)
{
    return decode_cbor(bytes,
                       [](const json& it)
                       {
                           require_array(it, 3);
                           return suspicion_news{.sender = it.at(0).get<std::string>(),
                                                 .wants_all = it.at(1).get<bool>(),
                                                 .reports = to_reports(it.at(2))};
                       });
}

std::optional<suspicion_reply> decode_suspicion_reply(const std::string& bytes)
{
    return decode_cbor(bytes,
                       [](const json& it)
                       {
                           require_array(it, 1);
                           return suspicion_reply{.reports = to_reports(it.at(0))};
                       });
}

} // namespace masticcourse::gateway

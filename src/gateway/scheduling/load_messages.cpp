#include "masticcourse/gateway/scheduling/load_messages.hpp"

#include "../cbor_messages.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace masticcourse::gateway
{

namespace
{

using detail::decode_cbor;
using detail::encode_cbor;
using detail::require_array;
using detail::to_count;
using nlohmann::json;

/// Maximum length of the name of a gateway, a run, a target or a service.
constexpr std::size_t max_name_length = 512;
/// The time factor is sent in percent, as targets report it.
constexpr double percent = 100;
constexpr std::uint32_t max_time_percent = 1'000'000;

std::string to_name(const json& it)
{
    const auto& name = it.get_ref<const std::string&>();
    if (name.size() > max_name_length)
    {
        throw std::invalid_argument("name too long");
    }
    return name;
}

wall_time to_wall_time(const json& it)
{
    const auto since_epoch = detail::to_integer(it);
    if (since_epoch < 0)
    {
        throw std::invalid_argument("time before the epoch");
    }
    return wall_time{milliseconds{since_epoch}};
}

template <typename Read>
auto to_list(const json& it, std::size_t max_size, Read read) -> std::vector<decltype(read(it))>
{
    if (!it.is_array() || it.size() > max_size)
    {
        throw std::invalid_argument("not a list of the expected size");
    }
    std::vector<decltype(read(it))> list;
    list.reserve(it.size());
    std::ranges::transform(it, std::back_inserter(list), read);
    return list;
}

template <typename List, typename Write>
json from_list(const List& list, Write write)
{
    auto document = json::array();
    std::ranges::transform(list, std::back_inserter(document), write);
    return document;
}

json from_time_factor(const std::optional<double>& factor)
{
    if (!factor)
    {
        return nullptr;
    }
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::lround(
                                         std::clamp(*factor, 0.0, max_time_percent / percent) * percent)),
                                     1, max_time_percent);
}

std::optional<double> to_time_factor(const json& it)
{
    if (it.is_null())
    {
        return std::nullopt;
    }
    const auto value = to_count(it);
    if (value == 0 || value > max_time_percent)
    {
        throw std::invalid_argument("time factor out of range");
    }
    return value / percent;
}

json from_report(const std::optional<aged_load_report>& it)
{
    if (!it)
    {
        return nullptr;
    }
    return json::array({it->load.running, it->load.waiting, it->load.slots,
                        from_time_factor(it->load.time_factor),
                        static_cast<std::uint64_t>(std::max(it->age, milliseconds{0}).count())});
}

std::optional<aged_load_report> to_report(const json& it)
{
    if (it.is_null())
    {
        return std::nullopt;
    }
    require_array(it, 5);
    return aged_load_report{.load = {.running = to_count(it.at(0)),
                                     .waiting = to_count(it.at(1)),
                                     .slots = to_count(it.at(2)),
                                     .time_factor = to_time_factor(it.at(3))},
                            .age = milliseconds{to_count(it.at(4))}};
}

json from_usage(const target_usage& it)
{
    return json::array({it.target.id.value, it.target.started.time_since_epoch().count(), it.in_flight,
                        it.successes, it.failures, from_report(it.report)});
}

target_usage to_usage(const json& it)
{
    require_array(it, 6);
    return {.target = {.id = {to_name(it.at(0))}, .started = to_wall_time(it.at(1))},
            .in_flight = to_count(it.at(2)),
            .successes = to_count(it.at(3)),
            .failures = to_count(it.at(4)),
            .report = to_report(it.at(5))};
}

json from_demand(const service_demand& it)
{
    return json::array({it.service.value, it.waiting});
}

service_demand to_demand(const json& it)
{
    require_array(it, 2);
    return {.service = {to_name(it.at(0))}, .waiting = to_count(it.at(1))};
}

load_digest to_digest(const json& it)
{
    require_array(it, 7);
    return {.sender = to_name(it.at(0)),
            .incarnation = to_name(it.at(1)),
            .sequence = detail::to_unsigned<std::uint64_t>(it.at(2)),
            .received_version = detail::to_unsigned<std::uint64_t>(it.at(3)),
            .complete = it.at(4).get<bool>(),
            .targets = to_list(it.at(5), max_load_targets, to_usage),
            .demand = to_list(it.at(6), max_load_services, to_demand)};
}

load_summary to_summary(const json& it)
{
    require_array(it, 7);
    return {.collector_incarnation = to_name(it.at(0)),
            .gateways = to_count(it.at(1)),
            .needs_complete = it.at(2).get<bool>(),
            .version = detail::to_unsigned<std::uint64_t>(it.at(3)),
            .complete = it.at(4).get<bool>(),
            .targets = to_list(it.at(5), max_load_targets, to_usage),
            .demand = to_list(it.at(6), max_load_services, to_demand)};
}

} // namespace

std::string encode(const load_digest& digest)
{
    return encode_cbor(json::array(
        {digest.sender, digest.incarnation, digest.sequence, digest.received_version, digest.complete,
         from_list(digest.targets, from_usage), from_list(digest.demand, from_demand)}));
}

std::string encode(const load_summary& summary)
{
    return encode_cbor(json::array({summary.collector_incarnation, summary.gateways, summary.needs_complete,
                                    summary.version, summary.complete, from_list(summary.targets, from_usage),
                                    from_list(summary.demand, from_demand)}));
}

std::optional<load_digest> decode_load_digest(const std::string& bytes)
{
    return decode_cbor(bytes, to_digest);
}

std::optional<load_summary> decode_load_summary(const std::string& bytes)
{
    return decode_cbor(bytes, to_summary);
}

} // namespace masticcourse::gateway

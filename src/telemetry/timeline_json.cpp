#include "timeline_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace masticcourse
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 3> phase_names{"begin", "end", "instant"};

json event_to_json(const timeline_event& event)
{
    json fields = json::object();
    for (const auto& it : event.fields)
    {
        fields[it.key] = it.value;
    }
    return {{"wall_us", event.timestamp.wall.count()},
            {"counter", event.timestamp.counter},
            {"event", static_cast<std::uint16_t>(event.id)},
            {"program", event.program.value},
            {"call", event.call.value},
            {"phase", phase_names.at(static_cast<std::size_t>(event.phase))},
            {"fields", std::move(fields)}};
}

timeline_event event_from_json(const json& row, const process_name& process)
{
    timeline_event event;
    event.timestamp.wall = std::chrono::microseconds{row.at("wall_us").get<std::int64_t>()};
    event.timestamp.counter = row.at("counter").get<std::uint32_t>();
    event.id = static_cast<event_id>(row.at("event").get<std::uint16_t>());
    event.process = process;
    event.program.value = row.at("program").get<std::string>();
    event.call.value = row.at("call").get<std::string>();
    const auto* const phase = std::ranges::find(phase_names, row.at("phase").get<std::string>());
    if (phase != phase_names.end())
    {
        event.phase = static_cast<event_phase>(std::distance(phase_names.begin(), phase));
    }
    for (const auto& [key, value] : row.at("fields").items())
    {
        event.fields.push_back({key, value.get<std::string>()});
    }
    return event;
}

timeline_export export_from_json(const json& document)
{
    timeline_export content;
    content.process.value = document.at("process").get<std::string>();
    content.dropped = document.at("dropped").get<std::uint64_t>();
    for (const auto& it : document.at("events"))
    {
        content.events.push_back(event_from_json(it, content.process));
    }
    return content;
}

} // namespace

namespace detail
{

std::string export_to_json(const timeline_export& content)
{
    json events = json::array();
    std::ranges::transform(content.events, std::back_inserter(events), event_to_json);
    const json document{
        {"process", content.process.value}, {"dropped", content.dropped}, {"events", std::move(events)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace detail

std::optional<timeline_export> parse_timeline(const std::string& text)
{
    try
    {
        return export_from_json(json::parse(text));
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace masticcourse

#include "masticcourse/telemetry/timeline.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iomanip>
#include <iterator>
#include <map>
#include <sstream>
#include <string_view>
#include <utility>

namespace masticcourse
{

namespace
{

using nlohmann::json;

std::string event_name(const timeline_event& event)
{
    const event_definition* const row = find_event(event.id);
    return row != nullptr ? std::string{row->name} : std::to_string(static_cast<unsigned>(event.id));
}

/// Assigns the numeric process and thread ids of the trace format and writes metadata records with their
/// names.
class trace_ids
{
  public:
    explicit trace_ids(json& records) : m_records(records) {}

    int pid_of(const timeline_event& event)
    {
        const auto [it, added] = m_pids.try_emplace(event.process.value, static_cast<int>(m_pids.size()) + 1);
        if (added)
        {
            add_metadata("process_name", it->second, 0, event.process.value);
        }
        return it->second;
    }

    int tid_of(const timeline_event& event)
    {
        if (event.program.empty())
        {
            return 0;
        }
        const int pid = pid_of(event);
        const auto [it, added] = m_tids.try_emplace(event.program.value, static_cast<int>(m_tids.size()) + 1);
        if (m_named_threads.try_emplace({pid, it->second}, true).second)
        {
            add_metadata("thread_name", pid, it->second, event.program.value);
        }
        return it->second;
    }

  private:
    void add_metadata(std::string_view kind, int pid, int tid, const std::string& name)
    {
        m_records.push_back(
            {{"ph", "M"}, {"name", kind}, {"pid", pid}, {"tid", tid}, {"args", {{"name", name}}}});
    }

    json& m_records;
    std::map<std::string, int> m_pids;
    std::map<std::string, int> m_tids;
    std::map<std::pair<int, int>, bool> m_named_threads;
};

/// Matches span ends to their begins, because the trace viewer pairs them by name and id.
class open_spans
{
  public:
    void begin(const timeline_event& event)
    {
        m_open[span_id(event)].push_back(event_name(event));
    }

    /// @return the name of the innermost open span, or std::nullopt if its begin event was overwritten
    std::optional<std::string> end(const timeline_event& event)
    {
        auto& names = m_open[span_id(event)];
        if (names.empty())
        {
            return std::nullopt;
        }
        std::string name = std::move(names.back());
        names.pop_back();
        return name;
    }

    static std::string span_id(const timeline_event& event)
    {
        return event.process.value + "/" + event.program.value + "/" + event.call.value;
    }

  private:
    std::map<std::string, std::vector<std::string>> m_open;
};

json trace_args(const timeline_event& event)
{
    json args{{"event", static_cast<unsigned>(event.id)}};
    if (!event.call.empty())
    {
        args["call"] = event.call.value;
    }
    for (const auto& it : event.fields)
    {
        args[it.key] = it.value;
    }
    return args;
}

json span_record(const timeline_event& event, std::string_view phase, const std::string& name)
{
    return {{"ph", phase}, {"name", name}, {"cat", "masticcourse"}, {"id", open_spans::span_id(event)}};
}

json instant_record(const timeline_event& event)
{
    return {{"ph", "i"}, {"name", event_name(event)}, {"s", "t"}};
}

json phase_record(const timeline_event& event, open_spans& spans)
{
    if (event.phase == event_phase::begin)
    {
        spans.begin(event);
        return span_record(event, "b", event_name(event));
    }
    if (event.phase == event_phase::end)
    {
        if (const auto name = spans.end(event))
        {
            return span_record(event, "e", *name);
        }
    }
    return instant_record(event);
}

/// Formats a timestamp as UTC wall time and logical counter, such as `2026-12-02T10:11:12.123456Z+3`.
std::string timestamp_text(const hlc_timestamp& timestamp)
{
    constexpr int fraction_digits = 6;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timestamp.wall);
    const std::time_t time = seconds.count();
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%FT%T.") << std::setw(fraction_digits) << std::setfill('0')
         << (timestamp.wall - seconds).count() << "Z+" << timestamp.counter;
    return text.str();
}

std::string listing_line(const timeline_event& event)
{
    constexpr std::array<std::string_view, 3> phase_marks{"[", "]", "."};
    std::string line = timestamp_text(event.timestamp) + " " + event.process.value + " ";
    line.append(phase_marks.at(static_cast<std::size_t>(event.phase))).append(" E");
    line += std::to_string(static_cast<unsigned>(event.id)) + " " + event_name(event);
    if (!event.program.empty())
    {
        line += " program=" + event.program.value;
    }
    if (!event.call.empty())
    {
        line += " call=" + event.call.value;
    }
    for (const auto& it : event.fields)
    {
        line += " " + it.key + "=" + it.value;
    }
    return line + "\n";
}

} // namespace

std::string to_chrome_trace(const std::vector<timeline_event>& events)
{
    json records = json::array();
    trace_ids ids{records};
    open_spans spans;
    for (const auto& it : events)
    {
        const int pid = ids.pid_of(it);
        const int tid = ids.tid_of(it);
        json record = phase_record(it, spans);
        record["ts"] = it.timestamp.wall.count();
        record["pid"] = pid;
        record["tid"] = tid;
        record["args"] = trace_args(it);
        records.push_back(std::move(record));
    }
    const json document{{"displayTimeUnit", "ms"}, {"traceEvents", std::move(records)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string to_listing(const std::vector<timeline_event>& events)
{
    std::string text;
    for (const auto& it : events)
    {
        text += listing_line(it);
    }
    return text;
}

} // namespace masticcourse

/// @file
/// Event timeline of a process, kept in a bounded ring buffer, and merging of the timelines of several
/// processes.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/telemetry/event.hpp"
#include "masticcourse/telemetry/hlc.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse
{

/// Whether an event begins a span, ends a span or is instantaneous.
enum class event_phase : std::uint8_t
{
    begin,
    end,
    instant,
};

/// Timeline entry.
struct timeline_event
{
    hlc_timestamp timestamp;
    event_id id{};
    process_name process;
    program_id program;
    call_key call;
    event_phase phase = event_phase::instant;
    std::vector<event_field> fields;

    friend bool operator==(const timeline_event&, const timeline_event&) = default;
};

/// Ring buffer of events; the oldest are overwritten. Thread-safe.
class timeline
{
  public:
    /// @param process  the process that records the events
    /// @param capacity maximum number of events; at least 1
    timeline(process_name process, std::size_t capacity);

    /// Records an event and sets its process.
    void record(timeline_event event);

    /// @return the recorded events, oldest first
    [[nodiscard]] std::vector<timeline_event> events() const;

    /// @return the number of overwritten events
    [[nodiscard]] std::uint64_t dropped() const;

    /// @return the response body of `GET /v1/timeline`
    [[nodiscard]] std::string to_json() const;

  private:
    process_name m_process;
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::vector<timeline_event> m_ring;
    std::size_t m_next = 0;
    std::uint64_t m_dropped = 0;
};

/// Timeline exported by one process.
struct timeline_export
{
    process_name process;
    std::uint64_t dropped = 0;
    std::vector<timeline_event> events;
};

/// @return the parsed export, or std::nullopt if @a json is invalid
[[nodiscard]] std::optional<timeline_export> parse_timeline(const std::string& json);

/// @return the events of all exports, ordered by timestamp, then by process
[[nodiscard]] std::vector<timeline_event> merge_timelines(const std::vector<timeline_export>& exports);

/// @return the events in the Chrome trace format, with one trace process per process and one trace thread per
/// program
[[nodiscard]] std::string to_chrome_trace(const std::vector<timeline_event>& events);

/// @return the events as text, one line per event
[[nodiscard]] std::string to_listing(const std::vector<timeline_event>& events);

} // namespace masticcourse

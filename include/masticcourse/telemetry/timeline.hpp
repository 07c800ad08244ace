/// @file
/// The time line of a process: its latest events in a bounded ring, and the merge of several processes'
/// rings.
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

/// Whether an event begins or ends something that lasts.
enum class event_phase : std::uint8_t
{
    begin,
    end,
    instant,
};

/// One event of the time line.
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

/// A bounded ring of events; the oldest give way. Thread-safe.
class timeline
{
  public:
    /// @param process  the process whose events these are
    /// @param capacity events kept; at least one
    timeline(process_name process, std::size_t capacity);

    /// Records an event; its process is set here.
    void record(timeline_event event);

    /// @return the events kept, oldest first
    [[nodiscard]] std::vector<timeline_event> events() const;

    /// @return how many events have given way to later ones
    [[nodiscard]] std::uint64_t dropped() const;

    /// @return the answer to `GET /v1/timeline`
    [[nodiscard]] std::string to_json() const;

  private:
    process_name m_process;
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::vector<timeline_event> m_ring;
    std::size_t m_next = 0;
    std::uint64_t m_dropped = 0;
};

/// What one process exported.
struct timeline_export
{
    process_name process;
    std::uint64_t dropped = 0;
    std::vector<timeline_event> events;
};

/// @return the export, or nothing if @a json is no valid one
[[nodiscard]] std::optional<timeline_export> parse_timeline(const std::string& json);

/// @return the events of all exports, ordered by stamp, then by process
[[nodiscard]] std::vector<timeline_event> merge_timelines(const std::vector<timeline_export>& exports);

/// @return the events as Chrome trace JSON: one row of the viewer per process, one thread per program
[[nodiscard]] std::string to_chrome_trace(const std::vector<timeline_event>& events);

/// @return the events as lines of text
[[nodiscard]] std::string to_listing(const std::vector<timeline_event>& events);

} // namespace masticcourse

/// @file
/// How far a streamed answer has come, over all targets that made parts of it.
///
/// A stream that may be resumed is handed on in whole events only: whatever its target breaks off in is
/// dropped, and the next target goes on behind the last whole event. So no event is missing, comes twice, or
/// is joined from two runs. Streams that draw on a budget are handed on so too, and counted. Others are
/// handed on byte by byte.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/net/sse.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse::gateway
{

/// How pieces of a stream are handed on.
enum class stream_granularity : std::uint8_t
{
    /// As they come.
    bytes,
    /// In whole events.
    whole_events,
};

class stream_progress
{
  public:
    explicit stream_progress(stream_granularity granularity);
    // The parser's callback refers to this object.
    stream_progress(const stream_progress&) = delete;
    stream_progress(stream_progress&&) = delete;
    stream_progress& operator=(const stream_progress&) = delete;
    stream_progress& operator=(stream_progress&&) = delete;
    ~stream_progress() = default;

    /// Another target goes on: what the one before left unfinished is dropped.
    void begin_attempt();

    /// Takes the next piece of the present run.
    /// @return what may be handed out now; nothing if the run can't be used: an event is too long, or it does
    /// not go on where the one before it ended
    [[nodiscard]] std::optional<std::string> feed(std::string_view chunk);

    /// @return what is left behind the last whole event, once the run has ended as it should
    [[nodiscard]] std::string take_remainder();

    /// Whole events so far.
    [[nodiscard]] token_count event_count() const
    {
        return m_event_count;
    }
    /// The data of the events so far, each with a line feed behind it.
    [[nodiscard]] const std::string& event_data() const
    {
        return m_event_data;
    }
    /// @return the id of the last whole event, if it has one
    [[nodiscard]] const std::optional<std::string>& last_event_id() const
    {
        return m_last_event_id;
    }
    /// Whether another target can go on without loss: nothing has been taken yet, or it is known behind what.
    [[nodiscard]] bool can_resume() const
    {
        return m_event_count == 0 || m_last_event_id.has_value();
    }

  private:
    void on_event(const sse_event& event);

    stream_granularity m_granularity;
    std::optional<sse_parser> m_parser;
    /// Bytes of an event that is not whole yet.
    std::string m_partial;
    std::string m_event_data;
    token_count m_event_count = 0;
    std::optional<std::string> m_last_event_id;
    /// An event of the present run repeats one that came before.
    bool m_out_of_order = false;
};

} // namespace masticcourse::gateway

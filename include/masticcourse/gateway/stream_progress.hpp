/// @file
/// Progress of a streamed response across all targets that produced parts of it.
///
/// A stream is forwarded in complete events only: an event that its target leaves incomplete is discarded. If
/// the stream can be resumed, the next target goes on after the last complete event. So no event is lost,
/// duplicated or spliced from two attempts, and events can be counted before they are sent.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/net/sse.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse::gateway
{

class stream_progress
{
  public:
    /// @param keeps_data whether event_data() is needed
    explicit stream_progress(bool keeps_data = true);
    // The parser's callback captures `this`.
    stream_progress(const stream_progress&) = delete;
    stream_progress(stream_progress&&) = delete;
    stream_progress& operator=(const stream_progress&) = delete;
    stream_progress& operator=(stream_progress&&) = delete;
    ~stream_progress() = default;

    /// Starts an attempt at another target; discards the previous target's incomplete event.
    /// @param goes_on whether output of an earlier attempt has been forwarded; a byte order mark at the
    ///                beginning of this one's would then be a part of a field's name
    void begin_attempt(bool goes_on);

    /// Processes the next chunk of the current attempt.
    /// @return the output that may be forwarded now; nothing if the attempt is unusable because an event is
    /// too long or does not follow the previous one
    [[nodiscard]] std::optional<std::string> feed(std::string_view chunk);

    /// @return whether the current attempt's response would be incomplete if it ended here
    [[nodiscard]] bool inside_event() const
    {
        return m_parser->inside_event();
    }

    /// @return the bytes after the last complete event, such as a comment, once the attempt has ended
    /// regularly
    [[nodiscard]] std::string take_remainder();

    /// @return the number of bytes after the last complete event
    [[nodiscard]] std::size_t unfinished_bytes() const
    {
        return m_partial.size();
    }

    /// Number of complete events so far.
    [[nodiscard]] token_count event_count() const
    {
        return m_event_count;
    }
    /// Data of all events so far, each followed by a line feed, if it is kept.
    [[nodiscard]] const std::string& event_data() const
    {
        return m_event_data;
    }
    /// @return the id of the last complete event, if it has one
    [[nodiscard]] const std::optional<std::string>& last_event_id() const
    {
        return m_last_event_id;
    }
    /// Whether another target can resume without loss: either no event has been received, or the last one has
    /// an id.
    [[nodiscard]] bool can_resume() const
    {
        return m_event_count == 0 || m_last_event_id.has_value();
    }

  private:
    void on_event(const sse_event& event);
    /// Removes the longest prefix that ends with an event's blank line from the partial input.
    [[nodiscard]] std::string take_complete_events();

    bool m_keeps_data;
    std::optional<sse_parser> m_parser;
    /// Bytes after the last complete event.
    std::string m_partial;
    /// @name Positions in m_partial
    /// @{
    /// Start of the last line.
    std::size_t m_line_start = 0;
    /// No line ends before it, after the start of the last line.
    std::size_t m_scanned = 0;
    /// @}
    std::string m_event_data;
    token_count m_event_count = 0;
    std::optional<std::string> m_last_event_id;
    /// The current attempt repeated an event that was already received.
    bool m_out_of_order = false;
    /// A byte order mark at the beginning of the current attempt's output is dropped, and none of its output
    /// has been forwarded yet.
    bool m_drops_byte_order_mark = false;
};

} // namespace masticcourse::gateway

/// @file
/// Progress of a streamed response across all targets that produced parts of it.
///
/// A resumable stream is forwarded in complete events only: an event that its target leaves incomplete is
/// discarded, and the next target resumes after the last complete one. So no event is lost, duplicated or
/// spliced from two attempts. Streams with a budget are forwarded in the same way, so that their events can
/// be counted. Other streams are forwarded as raw bytes.
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

/// Unit in which a stream is forwarded.
enum class stream_granularity : std::uint8_t
{
    /// Chunks as received.
    bytes,
    /// Complete events only.
    whole_events,
};

class stream_progress
{
  public:
    explicit stream_progress(stream_granularity granularity);
    // The parser's callback captures `this`.
    stream_progress(const stream_progress&) = delete;
    stream_progress(stream_progress&&) = delete;
    stream_progress& operator=(const stream_progress&) = delete;
    stream_progress& operator=(stream_progress&&) = delete;
    ~stream_progress() = default;

    /// Starts an attempt at another target; discards the previous target's incomplete event.
    void begin_attempt();

    /// Processes the next chunk of the current attempt.
    /// @return the output that may be forwarded now; nothing if the attempt is unusable because an event is
    /// too long or does not follow the previous one
    [[nodiscard]] std::optional<std::string> feed(std::string_view chunk);

    /// @return the bytes after the last complete event, once the attempt has ended regularly
    [[nodiscard]] std::string take_remainder();

    /// @return the number of bytes after the last complete event; 0 in a stream that is forwarded as raw
    /// bytes
    [[nodiscard]] std::size_t unfinished_bytes() const
    {
        return m_partial.size();
    }

    /// Number of complete events so far.
    [[nodiscard]] token_count event_count() const
    {
        return m_event_count;
    }
    /// Data of all events so far, each followed by a line feed.
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

    stream_granularity m_granularity;
    std::optional<sse_parser> m_parser;
    /// Bytes of an incomplete event.
    std::string m_partial;
    std::string m_event_data;
    token_count m_event_count = 0;
    std::optional<std::string> m_last_event_id;
    /// The current attempt repeated an event that was already received.
    bool m_out_of_order = false;
};

} // namespace masticcourse::gateway

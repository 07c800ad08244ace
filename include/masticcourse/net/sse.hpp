/// @file
/// Server-sent events: an incremental parser and the formatter that goes with it.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

struct sse_event
{
    /// The event's own id, if it has one (`Last-Event-ID` names it).
    std::optional<std::string> id;
    /// The event's type; empty means "message".
    std::string event;
    std::string data;

    friend bool operator==(const sse_event&, const sse_event&) = default;
};

/// @return the event as text; line breaks inside data become several `data` lines
[[nodiscard]] std::string format_sse(const sse_event& event);

/// @return a comment line, which receivers skip; it keeps a quiet connection alive
[[nodiscard]] std::string format_sse_comment(std::string_view text);

/// Takes the text of a stream in pieces of any size and hands out whole events.
class sse_parser
{
  public:
    using event_callback = std::function<void(sse_event)>;

    static constexpr std::size_t default_max_event = std::size_t{8} * 1024 * 1024;

    /// @param max_event the most bytes of one event; a longer one ends the stream
    explicit sse_parser(event_callback on_event, std::size_t max_event = default_max_event);

    /// @return false if an event is too long; nothing is parsed from then on
    [[nodiscard]] bool feed(std::string_view bytes);

  private:
    void process_line(std::string_view line);
    void process_field(std::string_view name, std::string_view value);
    void dispatch();

    event_callback m_on_event;
    std::size_t m_max_event;
    std::string m_line;
    sse_event m_event;
    bool m_has_data = false;
    bool m_after_cr = false;
    bool m_at_stream_start = true;
    bool m_overflow = false;
};

} // namespace masticcourse

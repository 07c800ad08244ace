/// @file
/// Server-sent events: an incremental parser and a formatter.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// Ignored at the beginning of a stream, in UTF-8.
inline constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

struct sse_event
{
    /// The event id, if present; a reconnecting client sends it as `Last-Event-ID`.
    std::optional<std::string> id;
    /// The event type; empty means the default type "message".
    std::string event;
    std::string data;

    friend bool operator==(const sse_event&, const sse_event&) = default;
};

/// Serializes an event; data with line breaks is written as several `data` lines.
[[nodiscard]] std::string format_sse(const sse_event& event);

/// Serializes a comment, which receivers ignore; used to keep idle connections alive.
[[nodiscard]] std::string format_sse_comment(std::string_view text);

/// Incremental parser: accepts input split at any position and emits complete events.
class sse_parser
{
  public:
    using event_callback = std::function<void(sse_event)>;

    static constexpr std::size_t default_max_event = std::size_t{8} * 1024 * 1024;

    /// @param max_event maximum size of one event in bytes; parsing stops at an event that exceeds it
    explicit sse_parser(event_callback on_event, std::size_t max_event = default_max_event);

    /// @return false once an event exceeds the size limit; all further input is ignored
    [[nodiscard]] bool feed(std::string_view bytes);

    /// @return whether input that ended here would have been cut off: in the middle of a line, or after a
    /// field of an event whose blank line is missing
    [[nodiscard]] bool inside_event() const;

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

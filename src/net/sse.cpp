#include "masticcourse/net/sse.hpp"

#include <utility>

namespace masticcourse
{

namespace
{

/// Removes the first line from @a text and returns it; lines end with CR, LF or CRLF.
std::string_view extract_line(std::string_view& text)
{
    const auto end = text.find_first_of("\r\n");
    const auto line = text.substr(0, end);
    if (end == std::string_view::npos)
    {
        text = {};
        return line;
    }
    const bool crlf = text.substr(end, 2) == "\r\n";
    text.remove_prefix(end + (crlf ? 2 : 1));
    return line;
}

void append_lines(std::string& out, std::string_view field, std::string_view text)
{
    // A trailing line break is followed by one more, empty line; empty text is a single empty line.
    const bool ends_with_line_break = text.empty() || text.back() == '\n' || text.back() == '\r';
    while (!text.empty())
    {
        out.append(field).append(extract_line(text)).append("\n");
    }
    if (ends_with_line_break)
    {
        out.append(field).append("\n");
    }
}

} // namespace

std::string format_sse(const sse_event& event)
{
    std::string out;
    if (event.id)
    {
        out.append("id: ").append(*event.id).append("\n");
    }
    if (!event.event.empty())
    {
        out.append("event: ").append(event.event).append("\n");
    }
    append_lines(out, "data: ", event.data);
    return out.append("\n");
}

std::string format_sse_comment(std::string_view text)
{
    return std::string(": ").append(text).append("\n\n");
}

sse_parser::sse_parser(event_callback on_event, std::size_t max_event)
    : m_on_event(std::move(on_event)), m_max_event(max_event)
{
}

bool sse_parser::feed(std::string_view bytes)
{
    while (!bytes.empty() && !m_overflow)
    {
        if (std::exchange(m_after_cr, false) && bytes.front() == '\n')
        {
            bytes.remove_prefix(1);
            continue;
        }
        const auto end = bytes.find_first_of("\r\n");
        const auto part = bytes.substr(0, end);
        m_overflow = m_line.size() + m_event.data.size() + part.size() > m_max_event;
        if (m_overflow)
        {
            break;
        }
        m_line += part;
        if (end == std::string_view::npos)
        {
            break;
        }
        m_after_cr = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        process_line(std::exchange(m_line, {}));
    }
    return !m_overflow;
}

bool sse_parser::inside_event() const
{
    return !m_line.empty() || m_has_data || m_event != sse_event{};
}

void sse_parser::process_line(std::string_view line)
{
    if (std::exchange(m_at_stream_start, false) && line.starts_with(byte_order_mark))
    {
        line.remove_prefix(byte_order_mark.size());
    }
    if (line.empty())
    {
        dispatch();
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
    {
        process_field(line, {});
        return;
    }
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    process_field(line.substr(0, colon), value);
}

void sse_parser::process_field(std::string_view name, std::string_view value)
{
    // An empty field name marks a comment; unknown fields are ignored.
    if (name == "data")
    {
        if (std::exchange(m_has_data, true))
        {
            m_event.data += '\n';
        }
        m_event.data += value;
    }
    else if (name == "event")
    {
        m_event.event = value;
    }
    else if (name == "id" && value.find('\0') == std::string_view::npos)
    {
        m_event.id = value;
    }
}

void sse_parser::dispatch()
{
    auto event = std::exchange(m_event, {});
    if (std::exchange(m_has_data, false))
    {
        m_on_event(std::move(event));
    }
}

} // namespace masticcourse

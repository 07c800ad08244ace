#include "masticcourse/gateway/stream_progress.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

std::optional<std::uint64_t> to_number(const std::string& id)
{
    std::uint64_t number = 0;
    const auto* const end = id.data() + id.size();
    const auto [stop, ec] = std::from_chars(id.data(), end, number);
    return ec == std::errc{} && stop == end ? std::optional{number} : std::nullopt;
}

/// Whether @a id does not follow @a last. Numeric ids are compared by value; others only for equality.
bool is_not_after(const std::string& id, const std::string& last)
{
    const auto number = to_number(id);
    const auto last_number = to_number(last);
    return number && last_number ? *number <= *last_number : id == last;
}

} // namespace

stream_progress::stream_progress(bool keeps_data) : m_keeps_data(keeps_data)
{
    begin_attempt(false);
}

void stream_progress::begin_attempt(bool goes_on)
{
    m_drops_byte_order_mark = goes_on;
    m_partial.clear();
    m_line_start = 0;
    m_scanned = 0;
    m_out_of_order = false;
    m_parser.emplace([this](const sse_event& event) { on_event(event); });
}

void stream_progress::on_event(const sse_event& event)
{
    m_out_of_order =
        m_out_of_order || (event.id && m_last_event_id && is_not_after(*event.id, *m_last_event_id));
    if (m_keeps_data)
    {
        m_event_data.append(event.data).append("\n");
    }
    m_last_event_id = event.id;
    ++m_event_count;
}

std::optional<std::string> stream_progress::feed(std::string_view chunk)
{
    const auto event_count = m_event_count;
    const auto event_data_size = m_event_data.size();
    const auto last_event_id = m_last_event_id;
    m_partial += chunk;
    auto complete = take_complete_events();
    const bool too_long = m_partial.size() > sse_parser::default_max_event;
    if (too_long || !m_parser->feed(chunk) || m_out_of_order)
    {
        // Nothing of the chunk is forwarded, so none of its events counts.
        m_event_count = event_count;
        m_event_data.resize(event_data_size);
        m_last_event_id = last_event_id;
        return std::nullopt;
    }
    return complete;
}

std::string stream_progress::take_complete_events()
{
    std::size_t length = 0;
    // The search goes on where the last chunk ended, or an event of many chunks would be read once for each.
    auto end = m_partial.find_first_of("\r\n", m_scanned);
    while (end != std::string::npos)
    {
        const bool is_blank = end == m_line_start;
        const bool crlf = m_partial.compare(end, 2, "\r\n") == 0;
        const auto next = end + (crlf ? 2 : 1);
        if (!is_blank && m_partial[end] == '\r' && next == m_partial.size())
        {
            // Its line feed may be in the next chunk.
            break;
        }
        length = is_blank ? next : length;
        m_line_start = next;
        end = m_partial.find_first_of("\r\n", next);
    }
    m_scanned = std::min(end, m_partial.size()) - length;
    m_line_start -= length;
    auto complete = m_partial.substr(0, length);
    m_partial.erase(0, length);
    if (!complete.empty() && std::exchange(m_drops_byte_order_mark, false) &&
        complete.starts_with(byte_order_mark))
    {
        complete.erase(0, byte_order_mark.size());
    }
    return complete;
}

std::string stream_progress::take_remainder()
{
    m_line_start = 0;
    m_scanned = 0;
    return std::exchange(m_partial, {});
}

} // namespace masticcourse::gateway

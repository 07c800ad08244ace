#include "masticcourse/gateway/stream_progress.hpp"

#include <charconv>
#include <cstdint>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// @return the length of the longest prefix of @a text that ends with an event's blank line; 0 if there is
/// none
std::size_t complete_events_length(std::string_view text)
{
    std::size_t length = 0;
    std::size_t line_start = 0;
    while (true)
    {
        const auto end = text.find_first_of("\r\n", line_start);
        if (end == std::string_view::npos)
        {
            return length;
        }
        const bool crlf = text.substr(end, 2) == "\r\n";
        const auto next = end + (crlf ? 2 : 1);
        if (end == line_start)
        {
            length = next;
        }
        line_start = next;
    }
}

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

stream_progress::stream_progress()
{
    begin_attempt();
}

void stream_progress::begin_attempt()
{
    m_partial.clear();
    m_out_of_order = false;
    m_parser.emplace([this](const sse_event& event) { on_event(event); });
}

void stream_progress::on_event(const sse_event& event)
{
    m_out_of_order =
        m_out_of_order || (event.id && m_last_event_id && is_not_after(*event.id, *m_last_event_id));
    m_event_data.append(event.data).append("\n");
    m_last_event_id = event.id;
    ++m_event_count;
}

std::optional<std::string> stream_progress::feed(std::string_view chunk)
{
    const auto event_count = m_event_count;
    const auto event_data_size = m_event_data.size();
    const auto last_event_id = m_last_event_id;
    m_partial += chunk;
    auto complete = m_partial.substr(0, complete_events_length(m_partial));
    m_partial.erase(0, complete.size());
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

std::string stream_progress::take_remainder()
{
    return std::exchange(m_partial, {});
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/stream_progress.hpp"

#include <charconv>
#include <cstdint>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// @return the length of the longest part of @a text that ends with an event's blank line; 0 if there is none
std::size_t whole_events_length(std::string_view text)
{
    std::size_t whole = 0;
    std::size_t line = 0;
    while (true)
    {
        const auto end = text.find_first_of("\r\n", line);
        // A return at the very end may be half of a line end.
        if (end == std::string_view::npos || (text[end] == '\r' && end + 1 == text.size()))
        {
            return whole;
        }
        const bool pair = text.substr(end, 2) == "\r\n";
        const auto next = end + (pair ? 2 : 1);
        if (end == line)
        {
            whole = next;
        }
        line = next;
    }
}

std::optional<std::uint64_t> to_number(const std::string& id)
{
    std::uint64_t number = 0;
    const auto* const end = id.data() + id.size();
    const auto [stop, ec] = std::from_chars(id.data(), end, number);
    return ec == std::errc{} && stop == end ? std::optional{number} : std::nullopt;
}

/// Whether @a id does not come behind @a last, as far as ids that are numbers tell.
bool repeats(const std::string& id, const std::string& last)
{
    const auto number = to_number(id);
    const auto before = to_number(last);
    return number && before ? *number <= *before : id == last;
}

} // namespace

stream_progress::stream_progress(stream_passing passing) : m_passing(passing)
{
    begin_run();
}

void stream_progress::begin_run()
{
    m_partial.clear();
    m_repeats = false;
    m_parser.emplace([this](const sse_event& event) { take_event(event); });
}

void stream_progress::take_event(const sse_event& event)
{
    m_repeats = m_repeats || (event.id && m_last_event && repeats(*event.id, *m_last_event));
    m_output.append(event.data).append("\n");
    m_last_event = event.id;
    ++m_events;
}

std::optional<std::string> stream_progress::feed(std::string_view piece)
{
    if (m_passing == stream_passing::bytes)
    {
        return std::string{piece};
    }
    m_partial += piece;
    auto whole = m_partial.substr(0, whole_events_length(m_partial));
    m_partial.erase(0, whole.size());
    const bool too_long = m_partial.size() > sse_parser::default_max_event;
    if (too_long || !m_parser->feed(whole) || m_repeats)
    {
        return std::nullopt;
    }
    return whole;
}

std::string stream_progress::take_rest()
{
    return std::exchange(m_partial, {});
}

} // namespace masticcourse::gateway

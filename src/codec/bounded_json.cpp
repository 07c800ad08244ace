#include "bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace masticcourse::codec
{

namespace
{

/// What the brackets and commas of a text outside its strings tell.
struct outline
{
    bool bounded = true;
    /// All brackets are closed, in whatever order, and strings too.
    bool closed = false;
};

/// @return the position after the string whose first character is at @a position; npos if it has no end
std::size_t end_of_string(std::string_view text, std::size_t position)
{
    position = text.find_first_of("\"\\", position);
    while (position != std::string_view::npos && text[position] == '\\')
    {
        position = text.find_first_of("\"\\", position + 2);
    }
    return position == std::string_view::npos ? position : position + 1;
}

outline scan(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t values = 1;
    auto position = text.find_first_of("\"[]{},");
    while (position != std::string_view::npos)
    {
        const char c = text[position++];
        const bool opens = c == '[' || c == '{';
        const bool closes = c == ']' || c == '}';
        if (closes && depth == 0)
        {
            return {};
        }
        depth = opens ? depth + 1 : depth - (closes ? 1 : 0);
        values += opens || c == ',' ? 1 : 0;
        if (depth > max_json_nesting || values > max_json_values)
        {
            return {.bounded = false};
        }
        position = c == '"' ? end_of_string(text, position) : position;
        if (position == std::string_view::npos)
        {
            return {};
        }
        position = text.find_first_of("\"[]{},", position);
    }
    return {.closed = depth == 0};
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r\n";
    const auto begin = text.find_first_not_of(spaces);
    return begin == std::string_view::npos ? std::string_view{}
                                           : text.substr(begin, text.find_last_not_of(spaces) - begin + 1);
}

} // namespace

bool is_bounded_json(std::string_view text)
{
    return scan(text).bounded;
}

bool is_bounded_object(std::string_view text)
{
    const auto trimmed = trim(text);
    if (!trimmed.starts_with('{') || !trimmed.ends_with('}'))
    {
        return false;
    }
    const auto found = scan(trimmed);
    return found.bounded && found.closed;
}

nlohmann::json parse_bounded(std::string_view text)
{
    if (!is_bounded_json(text))
    {
        return {nlohmann::json::value_t::discarded};
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace masticcourse::codec

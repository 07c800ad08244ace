#include "masticcourse/net/percent.hpp"

#include <algorithm>
#include <charconv>

namespace masticcourse
{

namespace
{

constexpr std::size_t escape_size = 3;
constexpr int hex_base = 16;

bool is_unreserved(char c)
{
    constexpr std::string_view unreserved_marks = "-._~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           unreserved_marks.find(c) != std::string_view::npos;
}

std::string escape(char c)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    const auto byte = static_cast<unsigned char>(c);
    return {'%', digits[byte / hex_base], digits[byte % hex_base]};
}

std::optional<char> unescape(std::string_view digits)
{
    unsigned char byte = 0;
    const auto* const end = digits.data() + digits.size();
    const auto [it, ec] = std::from_chars(digits.data(), end, byte, hex_base);
    const bool valid = digits.size() == escape_size - 1 && ec == std::errc{} && it == end;
    return valid ? std::optional{static_cast<char>(byte)} : std::nullopt;
}

} // namespace

std::string percent_encode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    std::ranges::for_each(text, [&out](char c) { out += is_unreserved(c) ? std::string{c} : escape(c); });
    return out;
}

std::optional<std::string> percent_decode(std::string_view encoded)
{
    std::string out;
    out.reserve(encoded.size());
    while (!encoded.empty())
    {
        const bool escaped = encoded.front() == '%';
        const auto c = escaped ? unescape(encoded.substr(1, escape_size - 1)) : encoded.front();
        if (!c)
        {
            return std::nullopt;
        }
        out.push_back(*c);
        encoded.remove_prefix(escaped ? escape_size : 1);
    }
    return out;
}

target_parts split_target(std::string_view target)
{
    const auto separator = target.find('?');
    const bool has_query = separator != std::string_view::npos;
    return {.path = target.substr(0, separator),
            .query = has_query ? target.substr(separator + 1) : std::string_view{}};
}

std::optional<std::string> query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        {
            return percent_decode(pair.substr(equals + 1));
        }
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
    }
    return std::nullopt;
}

} // namespace masticcourse

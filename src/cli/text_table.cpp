#include "text_table.hpp"

#include <algorithm>
#include <cstddef>

namespace masticcourse::detail
{

namespace
{

constexpr std::size_t column_gap = 2;

/// @return the number of code points; UTF-8 continuation bytes are not counted
std::size_t display_width(const std::string& text)
{
    constexpr unsigned char mask = 0xc0;
    constexpr unsigned char continuation = 0x80;
    return static_cast<std::size_t>(std::ranges::count_if(
        text, [](char c) { return (static_cast<unsigned char>(c) & mask) != continuation; }));
}

std::vector<std::size_t> column_widths(const std::vector<table_line>& lines)
{
    std::vector<std::size_t> widths;
    for (const auto& line : lines)
    {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t n = 0; n < line.size(); ++n)
        {
            widths[n] = std::max(widths[n], display_width(line[n]));
        }
    }
    return widths;
}

} // namespace

std::string render_table(const std::vector<table_line>& lines)
{
    const auto widths = column_widths(lines);
    std::string text;
    for (const auto& line : lines)
    {
        for (std::size_t n = 0; n < line.size(); ++n)
        {
            text += line[n];
            const bool last = n + 1 == line.size();
            text.append(last ? 0 : widths[n] - display_width(line[n]) + column_gap, ' ');
        }
        text += '\n';
    }
    return text;
}

} // namespace masticcourse::detail

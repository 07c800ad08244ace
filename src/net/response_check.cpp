#include "response_check.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <ranges>
#include <string>

namespace masticcourse::detail
{

namespace
{

using boost::beast::iequals;

constexpr int min_status = 100;
constexpr int max_status = 599;
constexpr int switching_protocols = 101;
constexpr int no_content = 204;
constexpr int status_class_interim = 1;
constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr unsigned minor_versions = 10;

std::vector<std::string_view> values_of(const std::vector<http_header>& headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const auto& it : headers)
    {
        if (iequals(it.name, name))
        {
            values.emplace_back(it.value);
        }
    }
    return values;
}

response_fault check_status(const response_head& head)
{
    const bool valid =
        head.status >= min_status && head.status <= max_status && head.status != switching_protocols;
    return valid ? response_fault::none : response_fault::status;
}

/// @return whether a response with this status has no content, whatever its header says
bool is_without_content(int status)
{
    return is_interim(status) || status == no_content;
}

response_fault check_framing(const response_head& head)
{
    const auto encodings = values_of(head.headers, "Transfer-Encoding");
    const auto lengths = values_of(head.headers, "Content-Length");
    const bool empty = is_without_content(head.status);
    if (!encodings.empty())
    {
        const bool chunked = encodings.size() == 1 && iequals(encodings.front(), "chunked");
        if (!chunked || empty || head.version < http_1_1)
        {
            return response_fault::transfer_encoding;
        }
        return lengths.empty() ? response_fault::none : response_fault::content_length;
    }
    const bool equal = std::ranges::adjacent_find(lengths, std::ranges::not_equal_to{}) == lengths.end();
    const bool zero = std::ranges::all_of(lengths, [](std::string_view it) { return it == "0"; });
    return equal && (!empty || zero) ? response_fault::none : response_fault::content_length;
}

} // namespace

std::string_view to_string(response_fault fault)
{
    switch (fault)
    {
    case response_fault::folded_line:
        return "a folded line in the header";
    case response_fault::version:
        return "an unknown version of HTTP";
    case response_fault::status:
        return "no valid status";
    case response_fault::transfer_encoding:
        return "a transfer encoding that is not allowed";
    case response_fault::content_length:
        return "an ambiguous length";
    case response_fault::none:
        break;
    }
    return "none";
}

void folded_line_search::feed(std::string_view bytes)
{
    for (const char c : bytes)
    {
        if (m_position == position::body)
        {
            return;
        }
        m_found = m_found || (m_position == position::line_start && (c == ' ' || c == '\t'));
        m_position = next(c);
    }
}

folded_line_search::position folded_line_search::next(char c) const
{
    const bool at_start = m_position == position::line_start;
    if (c == '\r')
    {
        return at_start ? position::empty_line : position::carriage_return;
    }
    if (c == '\n' && m_position == position::empty_line)
    {
        return position::body;
    }
    return c == '\n' && m_position == position::carriage_return ? position::line_start : position::line;
}

bool is_interim(int status)
{
    constexpr int statuses_of_a_class = 100;
    return status / statuses_of_a_class == status_class_interim;
}

response_fault check_response(const response_head& head)
{
    if (head.version / minor_versions != http_1_0 / minor_versions)
    {
        return response_fault::version;
    }
    const auto fault = check_status(head);
    return fault == response_fault::none ? check_framing(head) : fault;
}

} // namespace masticcourse::detail

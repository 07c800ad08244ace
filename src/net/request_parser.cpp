#include "request_parser.hpp"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace masticcourse::detail
{

namespace
{

namespace http = boost::beast::http;

/// Spaces, version and line end of a request line, in bytes.
constexpr std::size_t request_line_rest = 12;
/// The longest line of a chunk without leading zeros and extensions, with the line end before it, in bytes.
constexpr std::size_t max_chunk_line = 20;

} // namespace

request_parser::request_parser(const request_parser_limits& limits) : m_max_header(limits.max_header)
{
    header_limit(static_cast<std::uint32_t>(limits.max_header));
    body_limit(limits.max_body);
}

std::size_t request_parser::parse_header(boost::asio::const_buffer input, error_code& ec)
{
    const auto n = put(input, ec);
    m_header_size += n;
    if (ec == http::error::need_more)
    {
        ec = {};
    }
    if (!ec && m_header_size > m_max_header + m_request_line_size)
    {
        ec = http::error::header_limit;
    }
    return n;
}

std::size_t request_parser::parse_body(boost::asio::const_buffer input, std::string& part,
                                       std::size_t max_size, error_code& ec)
{
    m_part = &part;
    m_max_part = max_size;
    const auto size_before = part.size();
    std::size_t taken = 0;
    ec = {};
    while (!ec && !is_done() && taken < input.size())
    {
        taken += put(input + taken, ec);
    }
    m_part = nullptr;
    m_framing_size += taken - (part.size() - size_before);
    const bool waits = ec == http::error::need_more;
    if (waits || ec == http::error::need_buffer)
    {
        ec = {};
    }
    const bool line_too_long = waits && input.size() - taken > m_max_header + max_chunk_line;
    if (!ec && (line_too_long || is_framing_too_long()))
    {
        ec = http::error::header_limit;
    }
    return taken;
}

bool request_parser::is_framing_too_long() const
{
    // Once for the lines of the chunks, and once for the trailers.
    return m_framing_size > 2 * m_max_header + m_chunks * max_chunk_line;
}

void request_parser::on_request_impl(verb /*method*/, string_view method_name, string_view target,
                                     int version, error_code& /*ec*/)
{
    m_head.method = std::string(method_name);
    m_head.target = std::string(target);
    m_version = static_cast<unsigned>(version);
    m_request_line_size = method_name.size() + target.size() + request_line_rest;
}

void request_parser::on_response_impl(int /*status*/, string_view /*reason*/, int /*version*/,
                                      error_code& /*ec*/)
{
}

void request_parser::on_field_impl(field /*name*/, string_view name_text, string_view value,
                                   error_code& /*ec*/)
{
    if (!m_header_complete)
    {
        m_head.headers.push_back({std::string(name_text), std::string(value)});
    }
}

void request_parser::on_header_impl(error_code& /*ec*/)
{
    m_header_complete = true;
    m_keep_alive = keep_alive();
}

void request_parser::on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& /*ec*/)
{
}

std::size_t request_parser::on_body_impl(string_view data, error_code& ec)
{
    const auto n = std::min(data.size(), m_max_part - std::min(m_max_part, m_part->size()));
    m_part->append(data.data(), n);
    if (n < data.size())
    {
        ec = http::error::need_buffer;
    }
    return n;
}

void request_parser::on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                                          error_code& /*ec*/)
{
    ++m_chunks;
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t /*left*/, string_view data, error_code& ec)
{
    return on_body_impl(data, ec);
}

void request_parser::on_finish_impl(error_code& /*ec*/) {}

} // namespace masticcourse::detail

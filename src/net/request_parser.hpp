/// @file
/// The parser of the requests that the HTTP server reads.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace masticcourse::detail
{

/// How much of a request the parser accepts, in bytes.
struct request_parser_limits
{
    /// Of a header without its request line, of the trailers of a chunked body, and of what the lines of its
    /// chunks hold beside the chunks' sizes.
    std::size_t max_header = 0;
    std::uint64_t max_body = 0;
};

/// Parses one request into the project's types. Trailers are checked and dropped, as a proxy may (RFC 9110,
/// 6.5.1): nothing that follows the header can change what the request means. Extensions of chunks are
/// dropped too. What Beast's parser takes only as a whole, a chunk's line or all trailers, stays in the
/// buffer until then and is limited like a header.
class request_parser final : public boost::beast::http::basic_parser<true>
{
  public:
    explicit request_parser(const request_parser_limits& limits);

    /// Parses a part of the header.
    /// @return the number of bytes that were taken from @a input; the others are needed again, with more
    std::size_t parse_header(boost::asio::const_buffer input, boost::system::error_code& ec);

    /// Parses a part of the body.
    /// @param part receives the bytes of the body
    /// @param max_size up to which size @a part grows
    /// @return as for parse_header()
    std::size_t parse_body(boost::asio::const_buffer input, std::string& part, std::size_t max_size,
                           boost::system::error_code& ec);

    /// @return the request as far as its header tells it
    [[nodiscard]] http_request& head()
    {
        return m_head;
    }

    [[nodiscard]] const http_request& head() const
    {
        return m_head;
    }

    /// @return the bytes of the header that have been parsed
    [[nodiscard]] std::size_t header_size() const
    {
        return m_header_size;
    }

    [[nodiscard]] unsigned version() const
    {
        return m_version;
    }

    /// @return whether the caller wants to send a further request on the connection; known with the header
    [[nodiscard]] bool wants_keep_alive() const
    {
        return m_keep_alive;
    }

  private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;

    [[nodiscard]] bool is_framing_too_long() const;

    void on_request_impl(verb method, string_view method_name, string_view target, int version,
                         error_code& ec) override;
    void on_response_impl(int status, string_view reason, int version, error_code& ec) override;
    void on_field_impl(field name, string_view name_text, string_view value, error_code& ec) override;
    void on_header_impl(error_code& ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& ec) override;
    std::size_t on_body_impl(string_view data, error_code& ec) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, string_view data, error_code& ec) override;
    void on_finish_impl(error_code& ec) override;

    std::size_t m_max_header;
    http_request m_head;
    std::size_t m_header_size = 0;
    std::size_t m_request_line_size = 0;
    unsigned m_version = 11;
    bool m_keep_alive = false;
    /// Further fields are trailers.
    bool m_header_complete = false;
    std::size_t m_chunks = 0;
    /// Bytes of a chunked body that are not its data: the lines of its chunks, and its trailers.
    std::size_t m_framing_size = 0;
    /// Where the body goes, and up to which size; set during parse_body().
    std::string* m_part = nullptr;
    std::size_t m_max_part = 0;
};

} // namespace masticcourse::detail

/// @file
/// Conversions between the project's HTTP value types and Beast messages, mainly for the server.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::detail
{

namespace beast_http = boost::beast::http;

[[nodiscard]] std::vector<http_header> to_headers(const beast_http::fields& fields);

[[nodiscard]] beast_http::response<beast_http::string_body> to_message(http_response response,
                                                                       unsigned version, bool keep_alive);

[[nodiscard]] beast_http::response<beast_http::empty_body>
to_stream_head(int status, const std::vector<http_header>& headers, unsigned version, bool keep_alive);

/// The header of a response whose body follows in parts.
/// @param length size of the body in bytes, if it is known; otherwise the body is sent in chunks, or to a
/// caller of HTTP/1.0 until the connection closes
[[nodiscard]] beast_http::response<beast_http::empty_body>
to_body_head(int status, const std::vector<http_header>& headers, std::optional<std::uint64_t> length,
             unsigned version, bool keep_alive);

/// The bytes before and after one chunk of a chunked body.
struct chunk_framing
{
    std::string prefix;
    std::string suffix;
};

/// @param chunked false for HTTP/1.0, which has no chunked encoding; both strings are then empty
[[nodiscard]] chunk_framing make_chunk_framing(std::size_t size, bool chunked);

/// @return the response to a request that could not be read, or `std::nullopt` if the connection was lost
[[nodiscard]] std::optional<http_response> error_response_for(boost::system::error_code ec, bool timed_out);

} // namespace masticcourse::detail

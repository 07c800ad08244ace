/// @file
/// Conversions between the project's HTTP values and Beast's messages, for the server.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::detail
{

namespace beast_http = boost::beast::http;

/// @return the headers as plain values
[[nodiscard]] std::vector<http_header> to_headers(const beast_http::fields& fields);

/// Takes the body out of @a message.
[[nodiscard]] http_request to_request(beast_http::request<beast_http::string_body>& message);

[[nodiscard]] beast_http::response<beast_http::string_body> to_message(http_response response,
                                                                       unsigned version, bool keep_alive);

[[nodiscard]] beast_http::response<beast_http::empty_body>
to_stream_head(int status, const std::vector<http_header>& headers, unsigned version, bool keep_alive);

/// What stands around a part of a streamed body.
struct chunk_framing
{
    std::string prefix;
    std::string suffix;
};

/// @param chunked false for callers that know no chunks (HTTP/1.0): nothing stands around the part then
[[nodiscard]] chunk_framing make_chunk_framing(std::size_t size, bool chunked);

/// @return the answer to a request that could not be read, or nothing if its sender is gone
[[nodiscard]] std::optional<http_response> error_response_for(boost::system::error_code ec, bool timed_out);

} // namespace masticcourse::detail

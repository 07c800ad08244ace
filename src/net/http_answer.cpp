#include "http_answer.hpp"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>

namespace masticcourse::detail
{

namespace
{

namespace http = beast_http;

constexpr int status_request_timeout = 408;
constexpr int status_header_too_large = 431;
constexpr std::array statuses_without_body{204, 304};

bool allows_body(int status)
{
    return std::ranges::find(statuses_without_body, status) == statuses_without_body.end();
}

template <typename Body>
http::response<Body> make_head(int status, const std::vector<http_header>& headers, unsigned version,
                               bool keep_alive)
{
    http::response<Body> message;
    message.version(version);
    message.result(static_cast<unsigned>(status));
    std::ranges::for_each(headers, [&message](const http_header& it) { message.insert(it.name, it.value); });
    message.keep_alive(keep_alive);
    return message;
}

http_response malformed_request_response(std::string detail, int status = 0)
{
    return problem_response({.id = problem_id::malformed_request, .detail = std::move(detail)}, status);
}

} // namespace

std::vector<http_header> to_headers(const http::fields& fields)
{
    std::vector<http_header> headers;
    std::ranges::transform(fields, std::back_inserter(headers),
                           [](const auto& it) {
                               return http_header{std::string(it.name_string()), std::string(it.value())};
                           });
    return headers;
}

http::response<http::string_body> to_message(http_response response, unsigned version, bool keep_alive)
{
    auto message = make_head<http::string_body>(response.status, response.headers, version, keep_alive);
    if (allows_body(response.status))
    {
        if (!response.content_type.empty())
        {
            message.set(http::field::content_type, response.content_type);
        }
        message.body() = std::move(response.body);
    }
    message.prepare_payload();
    return message;
}

http::response<http::empty_body> to_stream_head(int status, const std::vector<http_header>& headers,
                                                unsigned version, bool keep_alive)
{
    auto message = make_head<http::empty_body>(status, headers, version, keep_alive);
    if (message.find(http::field::content_type) == message.end())
    {
        message.set(http::field::content_type, "text/event-stream");
    }
    message.set(http::field::cache_control, "no-store");
    message.chunked(version >= 11);
    return message;
}

http::response<http::empty_body> to_body_head(int status, const std::vector<http_header>& headers,
                                              std::optional<std::uint64_t> length, unsigned version,
                                              bool keep_alive)
{
    auto message = make_head<http::empty_body>(status, headers, version, keep_alive);
    if (length)
    {
        message.content_length(*length);
    }
    else
    {
        message.chunked(version >= 11);
    }
    return message;
}

chunk_framing make_chunk_framing(std::size_t size, bool chunked)
{
    if (!chunked)
    {
        return {};
    }
    std::ostringstream prefix;
    prefix << std::hex << size << "\r\n";
    return {.prefix = prefix.str(), .suffix = "\r\n"};
}

std::optional<http_response> error_response_for(boost::system::error_code ec, bool timed_out)
{
    if (timed_out)
    {
        return malformed_request_response("the request did not come in time", status_request_timeout);
    }
    if (ec == http::error::body_limit)
    {
        return problem_response({.id = problem_id::body_too_large});
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    {
        return malformed_request_response("the header is too large", status_header_too_large);
    }
    const bool peer_closed = ec == http::error::end_of_stream || ec == http::error::partial_message;
    const bool is_parse_error = ec.category() == make_error_code(http::error::bad_method).category();
    if (peer_closed || !is_parse_error)
    {
        return std::nullopt;
    }
    return malformed_request_response(ec.message());
}

} // namespace masticcourse::detail

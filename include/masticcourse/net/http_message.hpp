/// @file
/// HTTP messages as plain value types, independent of the HTTP library.
#pragma once

#include "masticcourse/core/problem.hpp"
#include "masticcourse/net/http_body.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse
{

struct http_header
{
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// @return the value of the first header named @a name, compared case-insensitively
[[nodiscard]] std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                                     std::string_view name);

/// A request as received by the server.
struct http_request
{
    std::string method;
    /// Path and query, still percent-encoded.
    std::string target;
    /// The body; its beginning only if there is a `rest`.
    std::string body;
    std::vector<http_header> headers;
    /// The part of the body that has not been read yet; null if the body is whole. See
    /// http_limits::stream_body_above.
    std::shared_ptr<http_body_source> rest;
    /// Size of the whole body in bytes, if the header states it.
    std::optional<std::uint64_t> stated_length;

    /// @return the value of the first header named @a name, compared case-insensitively
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// A complete response. The server sets `Content-Length` and `Connection`.
struct http_response
{
    int status = 200;
    /// If empty, `Content-Type` is taken from `headers`.
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_header> headers;
};

/// Serializes a problem as an RFC 9457 document with the extension members `id` and `ran`. A retry delay adds
/// the member `retry_after_ms` and the header `Retry-After`.
/// @param status overrides the default status of the problem's id; 0 keeps the default
[[nodiscard]] http_response problem_response(const problem& failure, int status = 0);

} // namespace masticcourse

/// @file
/// HTTP messages as plain values, without the HTTP library's types.
#pragma once

#include "masticcourse/core/problem.hpp"

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

/// @return the value of the first header called @a name, whatever its case
[[nodiscard]] std::optional<std::string> find_header(const std::vector<http_header>& headers,
                                                     std::string_view name);

/// A request as a server received it.
struct http_request
{
    std::string method;
    /// Path and query, still percent-encoded.
    std::string target;
    std::string body;
    std::vector<http_header> headers;

    /// @return the value of the first header called @a name, whatever its case
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// A whole answer. `Content-Length` and `Connection` are the server's to set.
struct http_response
{
    int status = 200;
    /// Left empty, it is whatever `headers` say.
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_header> headers;
};

/// Writes a problem as an RFC 9457 document, with `id`, `ran` and, where there is one, `Retry-After`.
/// @param status overrides the status that goes with the problem's id; 0 keeps it
[[nodiscard]] http_response problem_response(const problem& failure, int status = 0);

} // namespace masticcourse

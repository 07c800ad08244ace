/// @file
/// The check of a response's header by which all readers of responses go (RFC 9110, 15; RFC 9112, 2.3, 5.2
/// and 6.3). What the next hop could understand otherwise than this one, in its meaning or in its end, is no
/// response.
#pragma once

#include "masticcourse/net/http_message.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace masticcourse::detail
{

/// Why a header that the parser accepts makes no response.
enum class response_fault : std::uint8_t
{
    none,
    /// A line goes on with the one before.
    folded_line,
    /// Another major version than 1.
    version,
    /// No status at all, or 101, for which no request here asks.
    status,
    /// Anything but `chunked` on its own, or any where there can be none.
    transfer_encoding,
    /// Lengths that contradict each other or the transfer encoding, or one where there is no content.
    content_length,
};

/// @return a description for logs
[[nodiscard]] std::string_view to_string(response_fault fault);

/// Finds folded lines in a header that arrives in parts. The parser joins them, so that they are not seen
/// afterwards.
class folded_line_search
{
  public:
    /// @param bytes the next part of the response; what follows the header is ignored
    void feed(std::string_view bytes);

    [[nodiscard]] bool found() const
    {
        return m_found;
    }

  private:
    /// What the next byte follows.
    enum class position : std::uint8_t
    {
        line,
        carriage_return,
        line_start,
        /// A carriage return at the start of a line: of the empty one that ends the header.
        empty_line,
        body,
    };

    [[nodiscard]] position next(char c) const;

    position m_position = position::line;
    bool m_found = false;
};

/// A response's header as it was parsed.
struct response_head
{
    /// Major and minor version as two digits.
    unsigned version = 11;
    int status = 0;
    const std::vector<http_header>& headers;
};

/// @return whether a final response follows this one (RFC 9110, 15.2)
[[nodiscard]] bool is_interim(int status);

[[nodiscard]] response_fault check_response(const response_head& head);

} // namespace masticcourse::detail

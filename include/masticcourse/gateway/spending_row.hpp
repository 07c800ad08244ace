/// @file
/// The row of the store that says what a program has spent and what its turns under way may still spend.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// The caller's id of one attempt at a request.
using request_id = strong_string<struct gateway_request_id_tag>;

/// The most that a turn under way may still hand out.
struct token_reservation
{
    request_id request;
    token_count tokens = 0;
};

/// The row of one program.
struct spending_row
{
    /// Of the turns whose end is known.
    token_count spent = 0;
    std::vector<token_reservation> reserved;

    [[nodiscard]] token_count committed() const;
    [[nodiscard]] bool has_reservation(const request_id& request) const;
    /// Replaces a reservation, if it is there, by what the turn handed out.
    void settle(const request_id& request, token_count used_tokens);
};

[[nodiscard]] std::string encode(const spending_row& row);
/// @return nothing if @a text is no such row
[[nodiscard]] std::optional<spending_row> decode_spending(const std::string& text);

} // namespace masticcourse::gateway

/// @file
/// The row in the store with the tokens that a program has spent and those reserved by its running turns.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// Id that the caller assigns to one attempt at a request.
using request_id = strong_string<struct gateway_request_id_tag>;

/// The maximum number of tokens that a running turn may deliver.
struct token_reservation
{
    request_id request;
    token_count tokens = 0;
};

struct spending_row
{
    /// Tokens of settled turns.
    token_count spent = 0;
    std::vector<token_reservation> reserved;
    /// Turns whose tokens are in `spent`, but whose gateway may not know it yet: it must neither reserve nor
    /// charge them again. Oldest first.
    std::vector<request_id> counted;

    /// @return the tokens spent and reserved
    [[nodiscard]] token_count committed() const;
    [[nodiscard]] bool has_reservation(const request_id& request) const;
    /// @return whether the row holds the turn's reservation, or its tokens after recover() or charge()
    [[nodiscard]] bool accounts_for(const request_id& request) const;
    /// Replaces a reservation by the tokens that the turn delivered. Does nothing if there is no reservation.
    void settle(const request_id& request, token_count used_tokens);
    /// Adds the tokens of a turn that has ended, whether or not they were reserved. Does nothing if they have
    /// been added already.
    void charge(const request_id& request, token_count used_tokens);
    /// Like settle(), for a turn that another gateway served.
    void recover(const request_id& request, token_count used_tokens);

  private:
    void add_counted(const request_id& request);
};

[[nodiscard]] std::string encode(const spending_row& row);
/// @return empty if @a text is not a valid spending row
[[nodiscard]] std::optional<spending_row> decode_spending(const std::string& text);

} // namespace masticcourse::gateway

/// @file
/// What is still to be written of a turn to its program's spending row.
#pragma once

#include "masticcourse/gateway/spending_row.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <functional>
#include <variant>

namespace masticcourse::gateway
{

enum class reservation_outcome : std::uint8_t
{
    /// The reservation is durable.
    granted,
    /// The remaining budget does not cover the turn.
    over_budget,
    /// The store did not answer in time; the reservation may or may not have been written, and the turn may
    /// or may not fit the budget.
    unavailable,
};

using reservation_callback = std::function<void(reservation_outcome)>;
/// Receives the number of tokens of the charge that exceed the budget.
using charge_callback = std::function<void(token_count)>;

/// The turn runs or waits, and asks for a reservation of its maximum.
struct reserving_turn
{
    reservation_callback on_result;
    /// A write with the reservation was sent and its outcome is unknown: it may take effect later.
    bool may_be_written = false;
};

/// The turn has ended. Its tokens replace its reservation, if the row holds one.
struct settled_turn
{
    token_count tokens = 0;
    /// Another gateway served the turn, and may settle it too.
    bool recovered = false;
};

/// The turn has ended, and its tokens count whether or not they were reserved.
struct charged_turn
{
    token_count tokens = 0;
    charge_callback on_durable;
};

/// The one record of a turn. It passes from `reserving_turn` to one of the ends, never back.
struct unwritten_turn
{
    request_id request;
    std::variant<reserving_turn, settled_turn, charged_turn> state;
    /// Upper bound on the tokens that the turn generates.
    token_count max_tokens = 0;
    token_count budget = 0;
    time_point requested;
    time_point expires;
    /// The write in progress contains the turn in this state.
    bool being_written = false;

    [[nodiscard]] bool is_reserving() const
    {
        return std::holds_alternative<reserving_turn>(state);
    }
    /// @return the tokens that the turn will add to its program's row, at most
    [[nodiscard]] token_count pending_tokens() const;
};

} // namespace masticcourse::gateway

/// @file
/// What a gateway knows about the use of a program's budget, and since when. A refusal for the budget ends
/// the program, so it must be true when it is sent: the row is read from the store after the refused turn
/// arrived, and each turn that still holds a reservation is known not to have ended.
///
/// Load pattern: a runaway program starts a dozen turns at once at several gateways, and all but two or three
/// are refused. Turns that were found unfinished are not looked up again for each of them.
#pragma once

#include "masticcourse/gateway/spending_row.hpp"
#include "masticcourse/gateway/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace masticcourse::gateway
{

/// What a refusal still lacks.
enum class refusal_basis : std::uint8_t
{
    /// The turn may be refused.
    sufficient,
    /// The row has not been read from the store since the turn arrived.
    lacks_row,
    /// Turns with a reservation may have ended.
    lacks_turns,
    /// Turns with a reservation could not be looked up.
    unavailable,
};

class budget_evidence
{
  public:
    /// @name The row
    /// @{
    /// The store held the row at some time after @a since.
    void confirm_row(time_point since)
    {
        m_row_confirmed_since = since;
    }
    /// The row was read from a cache.
    void distrust_row()
    {
        m_row_confirmed_since.reset();
    }
    /// @}

    /// @name Turns with a reservation
    /// @{
    /// This gateway serves the turn, and will settle it.
    void begin_here(const request_id& turn)
    {
        m_served_here.insert(turn);
    }
    void end_here(const request_id& turn)
    {
        m_served_here.erase(turn);
    }
    /// A lookup that began at @a asked_at found no end of the turn.
    void found_unfinished(const request_id& turn, time_point asked_at);
    /// A lookup that began at @a asked_at failed.
    void lookup_failed(time_point asked_at)
    {
        m_lookup_failed_at = asked_at;
    }
    /// @}

    /// @param row       the row that does not cover the turn to refuse
    /// @param requested when that turn arrived
    [[nodiscard]] refusal_basis basis(const spending_row& row, time_point requested, time_point now) const;

    /// @return the turns whose reservations have to be looked up before a turn that arrived at @a requested
    /// is refused
    [[nodiscard]] std::vector<request_id> unchecked_turns(const spending_row& row, time_point requested,
                                                          time_point now) const;

  private:
    [[nodiscard]] bool is_checked(const request_id& turn, time_point requested, time_point now) const;

    std::optional<time_point> m_row_confirmed_since;
    std::set<request_id> m_served_here;
    /// Start of the last lookup that found the turn unfinished.
    std::map<request_id, time_point> m_unfinished;
    std::optional<time_point> m_lookup_failed_at;
};

} // namespace masticcourse::gateway

/// @file
/// Programs as the journal's records describe them.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"
#include "masticcourse/state/journal_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticcourse
{

/// All that is durable about one program.
struct program_state
{
    program_id program;
    program_spec spec;
    /// Tokens spent by the finished turns.
    token_count spent = 0;
    /// Tokens of the budget that count as spent or reserved (see `escrow_taken`); what lies between
    /// @a spent of the program's tree and this is unsettled, and a successor counts it as spent.
    token_count escrow = 0;
    bool ended = false;
    /// Finished turns in order; the first has number 1.
    std::vector<turn> turns;
    /// Non-idempotent calls that were about to be sent and have no result yet.
    std::vector<call_intended> intents;
    friend bool operator==(const program_state&, const program_state&) = default;
};

enum class apply_result : std::uint8_t
{
    applied,
    /// The record had been applied before; nothing changed.
    repeated,
    /// The record does not follow from what is known of the program; it was not applied.
    damaged,
};

/// A program whose records have a gap. A later snapshot of the program mends it.
struct history_damage
{
    program_id program;
    /// The number that the next turn should have had (0: the program was not known at all).
    std::uint32_t expected = 0;
    /// The number that came (0: the record was no turn).
    std::uint32_t found = 0;
    friend bool operator==(const history_damage&, const history_damage&) = default;
};

/// Builds programs from records, applied in their order.
class program_table
{
  public:
    apply_result apply(const journal_payload& payload);

    /// @return the program, or null if there is none or its records are damaged
    [[nodiscard]] const program_state* find(const program_id& program) const;

    /// @return all programs whose records are whole
    [[nodiscard]] const std::map<program_id, program_state>& programs() const;

    /// @return the programs whose records have a gap, which are not among `programs()`
    [[nodiscard]] const std::map<program_id, history_damage>& damages() const;

    /// @return the record that stands for all records of the program so far; none if it is unknown or damaged
    [[nodiscard]] std::optional<program_snapshot> snapshot_of(const program_id& program) const;

    /// Forgets a program.
    void erase(const program_id& program);

  private:
    apply_result apply_record(const program_created& it);
    apply_result apply_record(const escrow_taken& it);
    apply_result apply_record(const call_intended& it);
    apply_result apply_record(const turn_committed& it);
    apply_result apply_record(const intent_withdrawn& it);
    apply_result apply_record(const program_ended& it);
    apply_result apply_record(const program_snapshot& it);
    program_state* known(const program_id& program);
    apply_result damage(const program_id& program, std::uint32_t expected, std::uint32_t found);

    std::map<program_id, program_state> m_programs;
    std::map<program_id, history_damage> m_damages;
};

} // namespace masticcourse

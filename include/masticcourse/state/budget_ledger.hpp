/// @file
/// The budget of a program and all its sub-agents.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace masticcourse
{

/// Tokens set aside for one call until it is settled or cancelled.
struct reservation
{
    std::uint64_t id = 0;
    program_id program;
    token_count amount = 0;
};

/// A tree of programs that draws on the root's budget. Nothing is reserved that is not covered by escrow
/// which a successor will count as spent, so a crash can strand tokens but never spend them twice.
class budget_ledger
{
  public:
    /// A new program, or one recovered: all durable escrow counts as spent then.
    /// @param root    the program at the tree's root
    /// @param budget  its budget
    /// @param escrow  durable escrow found at recovery (0: a new program), within the budget
    /// @param settled tokens spent by committed turns of the whole tree, at recovery
    /// @param chunk   least amount by which escrow grows
    budget_ledger(program_id root, token_count budget, token_count escrow, token_count settled,
                  token_count chunk);

    /// Adds a sub-agent. Its own budget bounds what it and its sub-agents spend, within the parent's.
    /// @param spent tokens spent by its committed turns, at recovery
    /// @return false if the parent is not in the tree
    bool add(const program_id& program, const program_id& parent, token_count budget, token_count spent = 0);

    /// Sets tokens aside for a call of the root program.
    /// @return nothing if the budget or the durable escrow does not cover @a cost
    [[nodiscard]] std::optional<reservation> reserve(token_count cost);

    /// Sets tokens aside for a call of any program of the tree.
    [[nodiscard]] std::optional<reservation> reserve(const program_id& program, token_count cost);

    /// Ends a reservation with what the call cost. A cost above the reservation is charged as far as free
    /// escrow reaches; the rest goes to `overrun()`.
    /// @return the tokens charged
    token_count settle(const reservation& held, token_count actual);

    /// Ends a reservation of a call that did not run.
    void cancel(const reservation& held);

    /// @return whether the budget (not the escrow) has room for @a cost, so that more escrow would help
    [[nodiscard]] bool affordable(const program_id& program, token_count cost) const;

    /// @return the escrow total to make durable next, if a call of @a cost could not be reserved for want of
    /// it
    [[nodiscard]] std::optional<token_count> needs_escrow(token_count cost = 0) const;

    /// A record `escrow_taken` with this total is on its way to the journal.
    void escrow_requested(token_count total);

    /// The record is durable.
    void escrow_durable(token_count total);

    [[nodiscard]] token_count budget() const;
    /// Tokens charged in this life and before, including what was stranded by crashes.
    [[nodiscard]] token_count spent() const;
    /// Tokens charged to one program of the tree by its own and its sub-agents' calls.
    [[nodiscard]] token_count spent(const program_id& program) const;
    [[nodiscard]] token_count reserved() const;
    [[nodiscard]] token_count escrow() const;
    /// Tokens that recoveries counted as spent though no committed turn shows them.
    [[nodiscard]] token_count stranded() const;
    /// Tokens that would be stranded if the process died now.
    [[nodiscard]] token_count at_risk() const;
    /// Tokens that calls cost beyond their reservations and all free escrow.
    [[nodiscard]] token_count overrun() const;

  private:
    struct member
    {
        program_id parent;
        token_count budget = 0;
        token_count spent = 0;
        token_count reserved = 0;
    };

    /// Calls @a change on the program and all its ancestors.
    template <typename Change>
    void for_each_up(const program_id& program, Change change);
    /// @return what the budgets of the program and of all its ancestors leave
    [[nodiscard]] token_count room(const program_id& program) const;
    [[nodiscard]] token_count free_escrow() const;
    void check_bounds() const;

    program_id m_root;
    token_count m_chunk;
    token_count m_escrow;
    token_count m_requested;
    token_count m_stranded;
    token_count m_overrun = 0;
    std::uint64_t m_next_reservation = 1;
    std::map<program_id, member> m_members;
    std::map<std::uint64_t, reservation> m_held;
};

} // namespace masticcourse

/// @file
/// Token accounting for programs across all gateways. Each program has one row in the store, updated by
/// compare-and-set on the row version. Any gateway may write the row; programs have no owner.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/budget_evidence.hpp"
#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/finished_turns.hpp"
#include "masticcourse/gateway/spending_row.hpp"
#include "masticcourse/gateway/unwritten_turn.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticcourse::gateway
{

/// When a settlement is written.
enum class settlement_timing : std::uint8_t
{
    /// Together with the program's next reservation, or a short time later. If this process ends before, the
    /// stored turn tells its tokens, or the turn was broken off and counts at its maximum.
    joined,
    /// At once: no other record tells how the turn ended, so the write leaves this process before the caller
    /// can know of the end.
    immediate,
};

/// A request to reserve part of a program's budget for one turn.
struct reservation_request
{
    program_id program;
    request_id request;
    /// Upper bound on the tokens that the turn generates.
    token_count tokens = 0;
    token_count budget = 0;
    /// The turn has no previous turn, so the program is probably new.
    bool first_turn = false;
    time_point expires;
};

/// Tracks the budgets of the programs whose turns pass through this process. Transactions of one program are
/// serialised; each one also writes the settlements queued since the previous one.
class program_spending
{
  public:
    /// @param turns tells how turns that other gateways served have ended
    program_spending(row_store& store, commit_sink& commits, finished_turns& turns, delay_function delay,
                     clock_function clock);

    /// Whether a turn may be sent to a target before its reservation is durable: the locally known budget
    /// covers it with a safety margin, so the reservation is unlikely to be refused.
    [[nodiscard]] bool has_headroom(const reservation_request& request) const;

    /// Whether the row of the program is neither cached here nor being read or written.
    [[nodiscard]] bool is_unknown(const program_id& id) const;

    /// Reads the program's row from a gateway that caches it or from the store. Calls back once, also if the
    /// read failed. With the row cached, a turn can be sent before its reservation is durable, even while the
    /// store is unreachable.
    void look_up(const program_id& id, std::function<void()> on_end);

    /// Reserves tokens; calls back once, with `unavailable` at once if a turn with the same id is still to be
    /// written. A refusal is based on a read of the row that began after this call,
    /// and on the turns in that row that have not ended.
    void reserve(reservation_request request, reservation_callback on_result);

    /// Replaces the reservation of a finished turn, granted or not, by the @a tokens that it delivered. The
    /// callback of a reservation that is still outstanding is not called any more.
    void settle(const program_id& id, const request_id& request, token_count tokens,
                settlement_timing timing = settlement_timing::joined);

    /// Charges the tokens that a finished turn delivered without a durable reservation, even if they exceed
    /// the budget. The callback of its reservation is not called any more, also if that is being written.
    /// @param turn       the request of the turn, with the number of tokens delivered
    /// @param on_durable called when the charge is durable; never called if the charge fails
    void charge(reservation_request turn, charge_callback on_durable);

    /// @return the number of settlements and charges that are not being written yet
    [[nodiscard]] std::size_t unwritten() const;

    /// Evicts programs without recent turns from the cache; their rows are read again when needed.
    void evict_idle(time_point now);

  private:
    /// A turn of a write in progress, in the state that is written.
    struct written_turn
    {
        request_id request;
        /// For a charge: the tokens that exceed the budget.
        token_count excess_tokens = 0;
    };
    /// A write in progress.
    struct pending_write
    {
        spending_row next;
        std::vector<request_id> reserved;
        std::vector<written_turn> ended;
        time_point submitted;
    };
    struct refused_turn
    {
        request_id request;
        reservation_outcome outcome = reservation_outcome::over_budget;
    };
    struct program_entry
    {
        program_id id;
        /// The row as last read or written; empty if unknown.
        std::optional<spending_row> row;
        row_version version = 0;
        /// Where the row was read.
        row_source source = row_source::cache;
        budget_evidence evidence;
        /// At most one record of each turn.
        std::vector<unwritten_turn> turns;
        /// A read, a write or lookups of turns are in progress.
        bool busy = false;
        bool flush_scheduled = false;
        time_point last_used;
    };

    program_entry& entry_of(const program_id& id);
    [[nodiscard]] static unwritten_turn* find(program_entry& entry, const request_id& request);
    /// Records how a turn has ended, in place of what was still to be written of it.
    void end_turn(program_entry& entry, unwritten_turn ended);
    /// Removes a reservation that is not needed any more. It becomes a settlement without tokens if a write
    /// with it may still take effect.
    void withdraw(program_entry& entry, unwritten_turn& turn);
    /// Withdraws a reservation, and calls back.
    void fail_reservation(program_entry& entry, const request_id& request, reservation_outcome outcome);
    void process_pending(const program_id& id);
    /// @param allow_cached whether a copy cached by another gateway is acceptable: a write based on a stale
    /// version fails, but a refusal must be based on the row in the store
    void read(const program_id& id, bool allow_cached);
    void retry_read(const program_id& id);
    void write(const program_id& id, program_entry& entry);
    /// Applies the ends of turns to a copy of the row, and adds the reservations that fit.
    [[nodiscard]] pending_write prepare_write(program_entry& entry);
    static void apply_ends(program_entry& entry, pending_write& write);
    /// Adds the reservations that fit the budget to a write. Refuses the others if there is evidence for it.
    void admit_reservations(program_entry& entry, pending_write& write);
    /// @return how a reservation that does not fit is refused; nothing if the evidence does not suffice
    [[nodiscard]] std::optional<reservation_outcome>
    refusal_of(const program_entry& entry, const spending_row& row, const unwritten_turn& turn) const;
    void expire_turns(program_entry& entry);
    void on_written(const program_id& id, const pending_write& write, const change_result& result);
    /// Fails the reservations of a row that the store does not take.
    void on_write_refused(program_entry& entry, const pending_write& write);
    /// Ends the records of the turns that a write has made durable.
    static void complete_write(program_entry& entry, const pending_write& write);
    /// Obtains what the refusal of the pending reservations lacks.
    void gather_evidence(const program_id& id, program_entry& entry);
    void look_up_turns(const program_id& id, const std::vector<request_id>& turns);
    void on_turn_end(const program_id& id, const request_id& turn, time_point asked_at, const turn_end& end);
    /// @param asked_at start of the call that returned the row
    static void apply_row(program_entry& entry, const std::optional<stored_row>& row, row_source source,
                          time_point asked_at);
    static void log_refusal(const program_entry& entry, const spending_row& row, const unwritten_turn& turn);
    static void log_charge(const program_entry& entry, const unwritten_turn& turn, token_count excess_tokens);
    void schedule_flush(const program_id& id, program_entry& entry);

    row_store& m_store;
    commit_sink& m_commits;
    finished_turns& m_turns;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<program_id, program_entry> m_programs;
};

} // namespace masticcourse::gateway

/// @file
/// Token accounting for programs across all gateways. Each program has one row in the store, updated by
/// compare-and-set on the row version. Any gateway may write the row; programs have no owner.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/budget_evidence.hpp"
#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/finished_turns.hpp"
#include "masticcourse/gateway/spending_row.hpp"

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

using reservation_callback = std::function<void(reservation_outcome)>;
/// Receives the number of tokens of the charge that exceed the budget.
using charge_callback = std::function<void(token_count)>;

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

    /// Reserves tokens; calls back once. A refusal is based on a read of the row that began after this call,
    /// and on the turns in that row that have not ended.
    void reserve(reservation_request request, reservation_callback on_result);

    /// Replaces the reservation of a finished turn, granted or not, by the @a tokens that it delivered. A
    /// reservation that has not been written yet is cancelled without calling its callback.
    void settle(const program_id& id, const request_id& request, token_count tokens,
                settlement_timing timing = settlement_timing::joined);

    /// Charges the tokens that a finished turn delivered without a durable reservation, even if they exceed
    /// the budget.
    /// @param turn       the request of the turn, with the number of tokens delivered
    /// @param on_durable called when the charge is durable; never called if the charge fails
    void charge(reservation_request turn, charge_callback on_durable);

    /// @return the number of settlements and charges that are not being written yet
    [[nodiscard]] std::size_t unwritten() const;

    /// Evicts programs without recent turns from the cache; their rows are read again when needed.
    void evict_idle(time_point now);

  private:
    struct pending_reservation
    {
        reservation_request request;
        /// Holds a `charge_callback` if the entry charges tokens already delivered; charges are never
        /// refused.
        std::variant<reservation_callback, charge_callback> on_result;
        time_point requested;
        /// For a charge: the tokens that exceed the budget.
        token_count excess_tokens = 0;
    };
    struct settlement
    {
        request_id request;
        token_count tokens = 0;
        /// Another gateway served the turn, and may settle it too.
        bool recovered = false;
        time_point expires;
    };
    /// A write in progress.
    struct pending_write
    {
        spending_row next;
        std::vector<pending_reservation> admitted;
        std::vector<settlement> settled;
        time_point submitted;
    };
    struct program_entry
    {
        /// The row as last read or written; empty if unknown.
        std::optional<spending_row> row;
        row_version version = 0;
        /// Where the row was read.
        row_source source = row_source::cache;
        budget_evidence evidence;
        std::vector<pending_reservation> pending;
        std::vector<settlement> settlements;
        /// A read, a write or lookups of turns are in progress.
        bool busy = false;
        bool flush_scheduled = false;
        time_point last_used;
    };

    static void complete(const pending_reservation& it, reservation_outcome outcome);
    void queue_settlement(const program_id& id, settlement ended);
    void process_pending(const program_id& id);
    /// @param allow_cached whether a copy cached by another gateway is acceptable: a write based on a stale
    /// version fails, but a refusal must be based on the row in the store
    void read(const program_id& id, bool allow_cached);
    void retry_read(const program_id& id);
    void write(const program_id& id, program_entry& entry);
    /// Applies the settlements to a copy of the row, and admits the pending reservations that fit.
    [[nodiscard]] pending_write prepare_write(program_entry& entry) const;
    void expire_pending(program_entry& entry);
    /// Adds the pending reservations that fit the budget to a write. Refuses the others if there is evidence
    /// for it, and keeps them pending otherwise.
    void admit_pending(program_entry& entry, pending_write& write) const;
    /// @return whether the reservation was refused
    bool try_refuse(const program_entry& entry, const spending_row& row, const pending_reservation& it) const;
    void on_written(const program_id& id, pending_write write, const change_result& result);
    /// Obtains what the refusal of the pending reservations lacks.
    void gather_evidence(const program_id& id, program_entry& entry);
    void look_up_turns(const program_id& id, const std::vector<request_id>& turns);
    void on_turn_end(const program_id& id, const request_id& turn, time_point asked_at, const turn_end& end);
    /// @param asked_at start of the call that returned the row
    static void apply_row(program_entry& entry, const std::optional<stored_row>& row, row_source source,
                          time_point asked_at);
    static void log_refusal(const program_entry& entry, const spending_row& row,
                            const reservation_request& request);
    static void log_charge(const program_entry& entry, const pending_reservation& charged);
    void schedule_flush(const program_id& id, program_entry& entry);

    row_store& m_store;
    commit_sink& m_commits;
    finished_turns& m_turns;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<program_id, program_entry> m_programs;
};

} // namespace masticcourse::gateway

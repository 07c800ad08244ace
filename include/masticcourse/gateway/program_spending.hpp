/// @file
/// What a program's turns have spent and may still spend, over all gateways: one row a program, changed only
/// under the version that was read. Any gateway may write it; none owns a program.
#pragma once

#include "masticcourse/core/ids.hpp"
#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/spending_row.hpp"

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
    /// The budget does not hold one more turn.
    over_budget,
    /// The store did not answer in time; whether it is reserved is not known.
    unavailable,
};

using reservation_callback = std::function<void(reservation_outcome)>;
/// Takes how many tokens of a charge lie beyond the budget.
using charge_callback = std::function<void(token_count)>;

/// A turn's claim on its program's budget.
struct reservation_request
{
    program_id program;
    request_id request;
    /// The most tokens that the turn generates.
    token_count tokens = 0;
    token_count budget = 0;
    /// The turn begins a line of its program, so the program is likely new.
    bool first_turn = false;
    time_point expires;
};

/// The programs whose turns pass through this process. Reservations of one program are made one transaction
/// after the other; each carries along what has ended since.
class program_spending
{
  public:
    program_spending(row_store& store, commit_sink& commits, delay_function delay, clock_function clock);

    /// Whether a turn may be sent to a target while its reservation is still being written: the budget as
    /// known here holds it with room to spare, so a refusal is not to be expected.
    [[nodiscard]] bool has_headroom(const reservation_request& request) const;

    /// Whether nothing is known of a program that has had turns elsewhere.
    [[nodiscard]] bool is_unknown(const program_id& id) const;

    /// Reads what a program has spent, if any gateway or the store tells; calls back once, whatever came of
    /// it. So a turn need not wait for its reservation before it is sent, also while the store is away.
    void look_up(const program_id& id, std::function<void()> on_end);

    /// Reserves; calls back once. Refusals rest on a reading of the row made after this call.
    void reserve(reservation_request request, reservation_callback on_result);

    /// A turn with a reservation, granted or not, has handed out @a tokens and hands out no more. A
    /// reservation that has not been written is withdrawn; it is not called back.
    void settle(const program_id& id, const request_id& request, token_count tokens);

    /// A turn has ended that handed out tokens without a durable reservation: they are charged, also beyond
    /// the budget.
    /// @param turn       the turn's claim, of the tokens that were handed out
    /// @param on_durable called once that is so, if ever
    void charge(reservation_request turn, charge_callback on_durable);

    /// Forgets programs that had no turn here for a while; their rows are read anew if they come back.
    void evict_idle(time_point now);

  private:
    struct pending_reservation
    {
        reservation_request request;
        /// A turn's claim, or the charge for what has been handed out already, which is never refused.
        std::variant<reservation_callback, charge_callback> on_result;
        /// Whether the row has been read since the claim was made.
        bool fresh = false;
        /// Of a charge, what lies beyond the budget.
        token_count excess_tokens = 0;
    };
    struct settlement
    {
        request_id request;
        token_count tokens = 0;
    };
    struct program_entry
    {
        /// The row as last read or written; nothing if it is not known.
        std::optional<spending_row> row;
        row_version version = 0;
        std::vector<pending_reservation> pending;
        std::vector<settlement> settlements;
        /// A read or a write is under way.
        bool busy = false;
        bool flush_scheduled = false;
        time_point last_used;
    };

    static void complete(const pending_reservation& it, reservation_outcome outcome);
    void process_pending(const program_id& id);
    /// @param memory_will_do whether what another gateway remembers is enough: a write under an outdated
    /// version fails, but a refusal must rest on the row itself
    void read(const program_id& id, bool allow_cached);
    void write(const program_id& id, program_entry& entry);
    void expire_pending(program_entry& entry);
    /// Adds what fits to @a next.
    static void admit_pending(program_entry& entry, spending_row& next,
                              std::vector<pending_reservation>& admitted);
    void on_written(const program_id& id, const spending_row& next, std::vector<pending_reservation> admitted,
                    const std::vector<settlement>& settled, const change_result& result);
    /// @param fresh whether the row was read from the store just now
    static void apply_row(program_entry& entry, const std::optional<stored_row>& row, bool fresh);
    void schedule_flush(const program_id& id, program_entry& entry);

    row_store& m_store;
    commit_sink& m_commits;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<program_id, program_entry> m_programs;
};

} // namespace masticcourse::gateway

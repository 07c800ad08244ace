/// @file
/// Tokens delivered to programs before their spending rows record them, tracked by the one gateway that holds
/// the program's bucket.
///
/// Load pattern: a store outage of a few seconds under full load. Callers are guaranteed that a program gets
/// at most its budget plus the maximum of one turn. So tokens of up to one turn's maximum may be delivered
/// without a durable record, once per program across all gateways. On a site where two thirds of the load
/// need the store for nothing else, this carries programs of three or four turns, each using a quarter of its
/// maximum, through an outage that would otherwise fail them.
#pragma once

#include "masticcourse/gateway/program_spending.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace masticcourse::gateway
{

/// Number of buckets that programs are hashed into. A small site has several per gateway, which balances the
/// load; on larger sites some gateways hold none.
inline constexpr std::size_t overdraft_bucket_count = 32;

[[nodiscard]] std::size_t overdraft_bucket_of(std::string_view program);

/// A program without a turn for this long has ended. Ten times the retention of turns.
inline constexpr seconds max_program_idle_time{600};

/// What a program holds of its overdraft.
struct overdraft_state
{
    /// Tokens that the program's turns may deliver, or have delivered, without a row that records them.
    token_count outstanding = 0;
    /// The most that may be outstanding; 0 if nothing is.
    token_count limit = 0;
};

class overdraft_ledger
{
  public:
    /// Lets a turn deliver tokens that no spending row records yet. The tokens outstanding for a program
    /// never exceed the smallest @a max_tokens that its turns have stated.
    /// @param max_tokens upper bound on the tokens that the turn generates
    /// @return the number of tokens that the turn may deliver; the same number again for a repeated request
    [[nodiscard]] token_count draw(const program_id& program, const request_id& request,
                                   token_count max_tokens, time_point now);

    /// Ends the turn. Its @a used_tokens stay outstanding: they are not yet recorded in the program's
    /// spending row, or exceed the budget there.
    void settle(const program_id& program, const request_id& request, token_count used_tokens);

    /// Removes the turn: its tokens are recorded in the program's spending row.
    void clear(const program_id& program, const request_id& request);

    [[nodiscard]] overdraft_state find(const program_id& program) const;

    /// @return the tokens outstanding for all programs
    [[nodiscard]] token_count outstanding() const;

    /// @return whether no tokens are outstanding for any program of the bucket
    [[nodiscard]] bool empty(std::size_t bucket) const;

    /// Evicts programs without a draw for `max_program_idle_time`.
    void evict_idle(time_point now);

  private:
    struct program_account
    {
        /// The smallest maximum of one turn stated so far.
        token_count limit = 0;
        time_point last_used;
        std::unordered_map<request_id, token_count> outstanding;

        [[nodiscard]] token_count outstanding_excluding(const request_id& request) const;
        [[nodiscard]] token_count total_outstanding() const;
    };

    std::unordered_map<program_id, program_account> m_programs;
};

} // namespace masticcourse::gateway

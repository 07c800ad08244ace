/// @file
/// What programs have been handed out ahead of their budgets' rows, as the one gateway that may allow it
/// keeps account of it.
///
/// Load pattern: an outage of the store of some seconds under full load. A program's budget lies in a row,
/// and callers are promised that a program gets no more than its budget and the most of one turn. That one
/// turn may so be handed out with no durable word of it, once, whoever hands it out: on a site where two
/// thirds of the load need the store for nothing else, programs of three or four turns of a quarter of their
/// most go through an outage on it instead of failing in it.
#pragma once

#include "masticcourse/gateway/program_spending.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace masticcourse::gateway
{

/// How many buckets programs fall into: several for each gateway of a small site, so that they share the load
/// evenly; on larger ones some gateways hold none.
inline constexpr std::size_t overdraft_bucket_count = 32;

[[nodiscard]] std::size_t overdraft_bucket_of(std::string_view program);

/// After that long without a turn no program is left: ten times what turns are kept for.
inline constexpr seconds max_program_idle_time{600};

class overdraft_ledger
{
  public:
    /// Allows a turn to hand out tokens that no row accounts for. All that is open for one program together
    /// is at most the smallest most of one turn that its turns have stated.
    /// @param most the most tokens that the turn generates
    /// @return how many it may hand out; the same again for a repeated question
    [[nodiscard]] token_count draw(const program_id& program, const request_id& request,
                                   token_count max_tokens, time_point now);

    /// The turn has ended, and @a used tokens of it stay open: no row accounts for them yet, or they lie
    /// beyond the budget in it.
    void settle(const program_id& program, const request_id& request, token_count used_tokens);

    /// A row accounts for the turn.
    void clear(const program_id& program, const request_id& request);

    /// @return whether nothing is open for the programs of a bucket
    [[nodiscard]] bool empty(std::size_t bucket) const;

    /// Forgets programs for which nothing was asked for so long that none of then is left.
    void evict_idle(time_point now);

  private:
    struct program_account
    {
        token_count limit = 0;
        time_point last_used;
        std::unordered_map<request_id, token_count> outstanding;

        [[nodiscard]] token_count outstanding_excluding(const request_id& request) const;
    };

    std::unordered_map<program_id, program_account> m_programs;
};

} // namespace masticcourse::gateway

/// @file
/// What must hold over all homes together; it sees all that happens, which no home does.
#pragma once

#include "masticcourse/state/program_state.hpp"
#include "masticcourse/state/shard_row.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticcourse::tests
{

/// Keeps the truth about a randomised run and notes each violation.
class state_oracle
{
  public:
    /// A home has a shard and all its records.
    void taken(shard_index shard, epoch_number epoch, const incarnation_id& owner,
               const program_table& recovered);

    /// A home told a caller that the program exists.
    void program_acknowledged(shard_index shard, epoch_number epoch, const program_id& program);

    /// A home put a turn into its journal.
    void turn_appended(const program_id& program, const turn& finished);

    /// A home gave a turn's result to its caller as durable.
    void turn_acknowledged(shard_index shard, epoch_number epoch, const program_id& program,
                           const turn& finished);

    /// A target ran a call.
    void ran(const program_id& root, token_count budget, const program_id& program, const call_key& key,
             bool idempotent, token_count cost);

    [[nodiscard]] bool has_run(const program_id& program, const call_key& key) const;

    /// Notes a violation.
    void check(bool good, const std::string& what);

    [[nodiscard]] const std::vector<std::string>& violations() const;
    [[nodiscard]] std::uint64_t acknowledged_turns() const;
    [[nodiscard]] std::uint64_t takeovers() const;

  private:
    struct newest_home
    {
        epoch_number epoch = 0;
        std::map<program_id, std::vector<turn>> recovered;
    };

    void check_recovered(const newest_home& home);

    std::map<std::pair<shard_index, epoch_number>, incarnation_id> m_owners;
    std::map<shard_index, newest_home> m_newest;
    std::map<shard_index, std::set<program_id>> m_programs;
    std::map<program_id, std::vector<turn>> m_acknowledged;
    std::map<program_id, std::vector<turn>> m_appended;
    std::map<program_id, token_count> m_spent;
    std::map<std::pair<program_id, call_key>, unsigned> m_runs;
    std::vector<std::string> m_violations;
    std::uint64_t m_acknowledged_turns = 0;
};

} // namespace masticcourse::tests

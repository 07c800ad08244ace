/// @file
/// The JSON documents of the HTTP API, as text.
#pragma once

#include "masticcourse/control/entry_core.hpp"
#include "masticcourse/core/problem.hpp"
#include "masticcourse/state/program_state.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace masticcourse::detail
{

/// One row of the operators' list of programs.
struct program_summary
{
    const program_state* program = nullptr;
    bool active = false;
    process_name target;
};

/// One row of the status of peers.
struct peer_summary
{
    process_name name;
    process_role role = process_role::entry;
    bool live = false;
    bool leaving = false;
};

/// What an entry process says of itself.
struct entry_summary
{
    process_name name;
    incarnation_id incarnation;
    entry_counts counts;
    config_version config = 0;
    bool store_reachable = true;
    std::vector<peer_summary> peers;
};

[[nodiscard]] std::string problem_document(const problem& failure);
[[nodiscard]] std::string program_document(const program_state& program);
/// @param durable_turns how many of the turns are durable
[[nodiscard]] std::string history_document(const program_state& program, std::size_t durable_turns);
[[nodiscard]] std::string programs_document(const std::vector<program_summary>& programs);
[[nodiscard]] std::string outcome_document(std::uint32_t turn_number, const call_key& key,
                                           const call_outcome& outcome, bool durable);
[[nodiscard]] std::string token_document(const std::string& text);
[[nodiscard]] std::string status_document(const entry_summary& status);

} // namespace masticcourse::detail

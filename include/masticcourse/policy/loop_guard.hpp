/// @file
/// Detects programs that loop, by limits on the number of turns and on repeated identical requests.
#pragma once

#include "masticcourse/core/problem.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticcourse
{

struct loop_limits
{
    std::uint32_t max_turns = 400;
    /// Maximum number of occurrences of the same request among the last @a window requests.
    std::uint32_t max_repeats = 8;
    std::size_t window = 32;
};

/// The loop guard of one program.
class loop_guard
{
  public:
    loop_guard() = default;
    explicit loop_guard(const loop_limits& limits);

    /// Checks the next call of the program before it runs.
    /// @param digest `digest_of` the request
    /// @return `problem_id::none`, `turn_limit` or `repeated_call`
    problem_id check(std::uint64_t digest);

  private:
    loop_limits m_limits;
    std::uint32_t m_turns = 0;
    std::vector<std::uint64_t> m_recent_digests;
    std::size_t m_next_index = 0;
};

} // namespace masticcourse

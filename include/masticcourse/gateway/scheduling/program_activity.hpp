/// @file
/// The programs whose turns this gateway has sent to targets recently. A program in progress has work to
/// lose; one that has not started yet can be refused at no cost.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace masticcourse::gateway
{

/// Bounded set of programs; the least recently used ones are forgotten.
class program_activity
{
  public:
    /// @param max_programs must be positive
    explicit program_activity(std::size_t max_programs);

    /// Records that a turn of the program was sent.
    void record(const program_id& program);
    /// @return whether a turn of the program was sent recently
    [[nodiscard]] bool contains(const program_id& program) const;

  private:
    std::size_t m_max_programs;
    /// Most recently used first.
    std::list<program_id> m_order;
    std::unordered_map<program_id, std::list<program_id>::iterator> m_positions;
};

} // namespace masticcourse::gateway

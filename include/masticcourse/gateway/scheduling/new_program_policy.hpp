/// @file
/// The decision whether a new program may start.
///
/// Load pattern: more programs start than can end in time. If all were admitted, all would end slightly too
/// late.
/// A program is therefore refused at its first turn, before work is done for it.
#pragma once

#include "masticcourse/gateway/scheduling/admission_types.hpp"

namespace masticcourse::gateway
{

/// Mean number of turns per program, as an exponentially weighted average over the turns seen.
class turn_estimate
{
  public:
    /// Records a turn that was sent.
    void record(bool first_turn);
    /// @return turns per program; at least 1
    [[nodiscard]] double mean() const;

  private:
    /// Fraction of turns that are the first one of a program.
    double m_first_fraction = 0.25;
};

/// @param max_share greatest part of the time left that may be spent waiting; at least 0.05
/// @return the time that a new program can spend waiting, over all its turns, and still end in time
[[nodiscard]] duration program_slack(const admission_request& request, double turns, double max_share,
                                     time_point now);

} // namespace masticcourse::gateway

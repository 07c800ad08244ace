/// @file
/// The committed bounds: ratios of this project's figures to the baselines' of the same run.
#pragma once

#include "experiments.hpp"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace masticcourse::bench
{

/// One bound: `figure` of this project's decisions is at most (or at least) `limit` times that of `against`.
struct bound
{
    std::string mix;
    double load = 0;
    /// `p95`, `wasted` or `goodput`.
    std::string figure;
    /// `at_most` or `at_least`.
    std::string direction;
    double limit = 0;
    /// A system of the same run, or `peak`: this project's best over all loads.
    std::string against;
};

/// Reads one bound a line, `mix load figure direction limit against`; `#` begins a comment.
/// @throws std::runtime_error for a line that is none
[[nodiscard]] std::vector<bound> read_bounds(std::istream& in);

/// Prints each bound with what was measured.
/// @return whether all hold
[[nodiscard]] bool check_bounds(const std::vector<bound>& bounds, const std::vector<load_row>& rows,
                                std::ostream& out);

} // namespace masticcourse::bench

/// @file
/// Cost terms of a model engine that the placement of entry processes and that of gateways share.
#pragma once

#include "masticcourse/core/clock.hpp"

#include <algorithm>
#include <chrono>

namespace masticcourse
{

/// Fraction by which each running sequence lengthens the decode steps of the others.
inline constexpr double default_batch_slowdown = 0.02;

/// @return the factor by which @a running sequences lengthen a decode step
[[nodiscard]] constexpr double decode_step_factor(double running, double slowdown = default_batch_slowdown)
{
    return 1 + slowdown * running;
}

/// @param recompute_time duration of the prefill of tokens that another engine has cached
/// @param weight         cost of that prefill relative to its duration
/// @return the cost of the prefill beyond its own duration; it also delays other requests
[[nodiscard]] constexpr core_duration recompute_penalty(core_duration recompute_time, double weight)
{
    using real_seconds = std::chrono::duration<double>;
    const auto penalty =
        std::chrono::duration_cast<core_duration>(real_seconds{recompute_time} * (weight - 1));
    return std::max(penalty, core_duration::zero());
}

} // namespace masticcourse

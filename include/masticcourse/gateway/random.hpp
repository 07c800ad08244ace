/// @file
/// Seeds of pseudo-random sequences. Components get theirs from outside, so that tests can repeat a run.
#pragma once

#include <cstdint>
#include <string_view>

namespace masticcourse::gateway
{

struct random_seed
{
    std::uint32_t value = 0;
};

/// @return a seed that differs between processes
[[nodiscard]] random_seed make_random_seed();

/// @return the seed for one of several components that are created from the same seed, each with a sequence
/// of its own
[[nodiscard]] random_seed derive_seed(random_seed seed, std::string_view component);

} // namespace masticcourse::gateway

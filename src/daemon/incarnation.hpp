/// @file
/// A new life of a process.
#pragma once

#include "masticcourse/core/ids.hpp"

#include <cstdint>
#include <random>

namespace masticcourse
{

/// @return a random number from the system
[[nodiscard]] inline std::uint64_t system_random()
{
    constexpr unsigned half = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

/// @return the id of a process's life: its name and 64 random bits
[[nodiscard]] inline incarnation_id new_incarnation(const process_name& name)
{
    return {name.value + '#' + std::to_string(system_random())};
}

} // namespace masticcourse

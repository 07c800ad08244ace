/// @file
/// The seed of all pseudo-random sequences of a test run.
#pragma once

#include "masticcourse/gateway/random.hpp"

namespace masticcourse::testing
{

/// Environment variable that sets the seed.
inline constexpr const char* seed_variable = "MASTICCOURSE_TEST_SEED";

/// @return the seed that @ref seed_variable names; 1 if it is not set
[[nodiscard]] gateway::random_seed test_seed();

} // namespace masticcourse::testing

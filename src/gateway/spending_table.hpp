/// @file
/// The table with the spending rows of programs, and how long a write to it is retried.
#pragma once

#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/gateway/time.hpp"

#include <string>

namespace masticcourse::gateway
{

inline const std::string spending_table = "spending";
/// How long one write of a settlement is retried.
inline constexpr seconds settlement_timeout{20};

} // namespace masticcourse::gateway

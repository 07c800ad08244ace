/// @file
/// In which partition of the store a row lies.
#pragma once

#include <string>
#include <string_view>

namespace masticcourse::gateway
{

/// @return the partition that follows from a row's key alone, so that every gateway finds it
[[nodiscard]] std::string partition_of(std::string_view key);

} // namespace masticcourse::gateway

/// @file
/// Maps rows to partitions of the store.
#pragma once

#include <string>
#include <string_view>

namespace masticcourse::gateway
{

/// @return the partition of a row; depends on its key only, so that all gateways agree on it
[[nodiscard]] std::string partition_of(std::string_view key);

} // namespace masticcourse::gateway

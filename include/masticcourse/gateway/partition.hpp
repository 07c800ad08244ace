/// @file
/// Maps rows to partitions of the store.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <string>
#include <string_view>

namespace masticcourse::gateway
{

/// @return the partition of a row; depends on its key only, so that all gateways agree on it
[[nodiscard]] std::string partition_of(std::string_view key);

/// @param name the row, whose key has no characters below ' '
/// @param owner the id that the row's partition depends on
/// @return a query of that row alone
[[nodiscard]] row_query query_of_row(const row_name& name, std::string_view owner);

} // namespace masticcourse::gateway

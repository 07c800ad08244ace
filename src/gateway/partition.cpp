#include "masticcourse/gateway/partition.hpp"

#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// Transactions of a partition are serialized. Eight partitions are enough to use the full write throughput
/// of a small store; more would only make the write batches smaller.
constexpr unsigned partition_count = 8;

} // namespace

std::string partition_of(std::string_view key)
{
    return "p" + std::to_string(XXH3_64bits(key.data(), key.size()) % partition_count);
}

row_query query_of_row(const row_name& name, std::string_view owner)
{
    // The bound is exclusive, and the least key behind this one.
    return {.table = name.table, .partition = partition_of(owner), .from = name.key, .to = name.key + ' '};
}

} // namespace masticcourse::gateway

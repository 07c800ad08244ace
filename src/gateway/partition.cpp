#include "masticcourse/gateway/partition.hpp"

#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

/// A partition takes one transaction after another. So many carry what a small store takes as a whole; more
/// would only thin out the batches.
constexpr unsigned partition_count = 8;

} // namespace

std::string partition_of(std::string_view key)
{
    return "p" + std::to_string(XXH3_64bits(key.data(), key.size()) % partition_count);
}

} // namespace masticcourse::gateway

/// @file
/// Rendezvous hashing of targets: each key ranks the targets in an order of its own. A target that joins or
/// leaves doesn't change the order of the others.
#pragma once

#include "masticcourse/gateway/target_table.hpp"

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace masticcourse::gateway
{

/// A key, hashed once for all targets that it is compared with.
class rendezvous_key
{
  public:
    /// @param key what the targets are ranked for, such as a program's id
    explicit rendezvous_key(std::string_view key) : m_seed(XXH3_64bits(key.data(), key.size())) {}

    /// @return the target's weight, uniformly distributed over all values; the key prefers the greatest one
    /// @param occurrence distinguishes several weights of the same target
    [[nodiscard]] std::uint64_t weight(const target& it, std::uint32_t occurrence = 0) const
    {
        const auto& id = it.record.id.value;
        return XXH3_64bits_withSeed(id.data(), id.size(), m_seed + occurrence);
    }

  private:
    std::uint64_t m_seed;
};

/// @return the weight of a target for a key; the key prefers the target with the greatest one
[[nodiscard]] inline std::uint64_t rendezvous_weight(std::string_view key, const target& it)
{
    return rendezvous_key{key}.weight(it);
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/peer.hpp"

#include <cmath>
#include <cstdint>
#include <limits>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

constexpr double min_eligible_cores = 0.15;

} // namespace

bool has_min_cores(const peer& it)
{
    return it.cores >= min_eligible_cores;
}

double rendezvous_score(const peer& it, std::string_view key)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    const auto hash = XXH3_64bits_withSeed(it.address.data(), it.address.size(), seed);
    const double unit = (static_cast<double>(hash) + 1) /
                        (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -it.cores / std::log(unit);
}

} // namespace masticcourse::gateway

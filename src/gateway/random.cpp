#include "masticcourse/gateway/random.hpp"

#include <random>
#include <xxhash.h>

namespace masticcourse::gateway
{

random_seed make_random_seed()
{
    return {std::random_device{}()};
}

random_seed derive_seed(random_seed seed, std::string_view component)
{
    return {static_cast<std::uint32_t>(XXH3_64bits_withSeed(component.data(), component.size(), seed.value))};
}

} // namespace masticcourse::gateway

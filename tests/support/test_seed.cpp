#include "support/test_seed.hpp"

#include <cstdlib>
#include <string>

namespace masticcourse::testing
{

gateway::random_seed test_seed()
{
    const auto* const text = std::getenv(seed_variable); // NOLINT(concurrency-mt-unsafe): nothing sets it
    return {text != nullptr ? static_cast<std::uint32_t>(std::stoul(text)) : 1};
}

} // namespace masticcourse::testing

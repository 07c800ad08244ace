#include "masticcourse/settings/token.hpp"

#include <cstddef>

namespace masticcourse
{

bool tokens_equal(std::string_view a, std::string_view b)
{
    if (a.empty() || a.size() != b.size())
    {
        return false;
    }
    // All bytes are compared, so that the timing does not reveal the position of the first difference.
    volatile unsigned char difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
    {
        difference = static_cast<unsigned char>(difference | (a[n] ^ b[n]));
    }
    return difference == 0;
}

} // namespace masticcourse

#include "masticcourse/gateway/unwritten_turn.hpp"

namespace masticcourse::gateway
{

token_count unwritten_turn::pending_tokens() const
{
    if (const auto* const end = std::get_if<charged_turn>(&state))
    {
        return end->tokens;
    }
    // A settlement takes tokens from the row, or leaves them as they are.
    return is_reserving() ? max_tokens : 0;
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/budget_evidence.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

namespace masticcourse::gateway
{

namespace
{

/// How long a turn counts as running after it was found unfinished. The platform counts a turn at its maximum
/// for one second after its end.
constexpr milliseconds unfinished_validity{300};

} // namespace

void budget_evidence::found_unfinished(const request_id& turn, time_point asked_at)
{
    std::erase_if(m_unfinished,
                  [asked_at](const auto& it) { return it.second + unfinished_validity < asked_at; });
    m_unfinished[turn] = asked_at;
}

refusal_basis budget_evidence::basis(const spending_row& row, time_point requested, time_point now) const
{
    if (!m_row_confirmed_since || *m_row_confirmed_since < requested)
    {
        return refusal_basis::lacks_row;
    }
    if (unchecked_turns(row, requested, now).empty())
    {
        return refusal_basis::sufficient;
    }
    const bool lookup_failed = m_lookup_failed_at && *m_lookup_failed_at >= requested;
    return lookup_failed ? refusal_basis::unavailable : refusal_basis::lacks_turns;
}

std::vector<request_id> budget_evidence::unchecked_turns(const spending_row& row, time_point requested,
                                                         time_point now) const
{
    std::vector<request_id> turns;
    std::ranges::transform(row.reserved, std::back_inserter(turns), &token_reservation::request);
    std::erase_if(turns, [&](const request_id& it) { return is_checked(it, requested, now); });
    return turns;
}

bool budget_evidence::is_checked(const request_id& turn, time_point requested, time_point now) const
{
    if (m_served_here.contains(turn))
    {
        return true;
    }
    const auto it = m_unfinished.find(turn);
    return it != m_unfinished.end() && (it->second >= requested || it->second + unfinished_validity > now);
}

} // namespace masticcourse::gateway

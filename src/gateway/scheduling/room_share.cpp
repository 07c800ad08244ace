#include "masticcourse/gateway/scheduling/room_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// Least part of the slots freed here that this gateway reuses. A slot left to others is idle until their
/// next view.
constexpr double min_reuse = 0.75;
/// Number of requests that a gateway may send in advance of its share.
constexpr double max_advance = 1;
/// Part of the slots that is left free for requests that may be sent in advance, while several gateways hold
/// requests back.
constexpr double advance_reserve = 0.1;

} // namespace

bool room_share::available(const service_room& room, std::size_t own_waiting, bool may_advance,
                           time_point now)
{
    const double own = std::max<double>(1, static_cast<double>(own_waiting));
    const double share = own / (own + room.others_waiting);
    if (!m_assigned || now - *m_assigned >= m_period)
    {
        assign(room, share, now);
    }
    reuse_freed_slots(room, share);
    if (room.free < 1)
    {
        return false;
    }
    if (room.others_waiting == 0)
    {
        return true;
    }
    return may_advance ? m_credit >= 1 - max_advance
                       : m_credit >= 1 && room.free >= 1 + std::floor(room.slots * advance_reserve);
}

void room_share::sent()
{
    ++m_in_flight;
    m_credit = std::max(-max_advance, m_credit - 1);
}

void room_share::completed()
{
    if (m_in_flight > 0)
    {
        --m_in_flight;
        ++m_freed;
    }
}

double room_share::of_in_flight(const service_room& room) const
{
    const auto total = std::max(room.slots - room.free, static_cast<double>(m_in_flight));
    return total > 0 ? m_in_flight / total : 0;
}

void room_share::assign(const service_room& room, double share, time_point now)
{
    std::uniform_real_distribution<double> fraction{0, 1};
    m_credit = std::min(0.0, m_credit) + std::max(0.0, room.free) * share + fraction(m_random);
    m_assigned = now;
    m_freed = 0;
}

void room_share::reuse_freed_slots(const service_room& room, double share)
{
    const double freed = std::exchange(m_freed, 0);
    const double total = room.slots - room.free + freed;
    const double held = m_in_flight + freed;
    const double reuse = held > 0 ? std::clamp(total * share / held, min_reuse, 1.0) : 1.0;
    m_credit = std::min(m_credit + freed * reuse, std::max(0.0, room.free) + 1);
}

} // namespace masticcourse::gateway

#include "masticcourse/gateway/scheduling/admission_control.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

using real_seconds = std::chrono::duration<double>;

std::size_t queue_limit(const admission_options& options, const service_room& room)
{
    const auto by_slots = static_cast<std::size_t>(options.queue_per_slot * room.slots);
    return std::clamp<std::size_t>(by_slots, 1, std::max<std::size_t>(1, options.max_queue));
}

/// Part of its slack that a program may spend waiting for its first turn. A longer wait leaves too little for
/// its other turns, and an early refusal leaves the caller time to retry.
constexpr double first_turn_slack = 0.08;
/// The same for a workspace that has received less than its share.
constexpr double first_turn_slack_below_share = 1;
/// Greatest part of the time left that a program may spend waiting. The time left also covers tool calls of
/// unknown duration, and programs of many turns, whose need is underestimated.
constexpr double max_slack_share = 0.1;
/// The same for a workspace that has received less than its share, whose requests go before those of others.
constexpr double max_slack_below_share = 0.6;

/// @return whether the request starts a program that has a deadline
bool starts_program(const admission_request& request)
{
    return !request.under_way && request.program_deadline.has_value();
}

time_point latest_start_for_caller(const admission_request& request)
{
    return request.deadline - request.expected_duration;
}

} // namespace

admission_control::admission_control(admission_options options, random_seed seed)
    : m_options(options), m_random(derive_seed(seed, "admission").value),
      m_share(options.share_period, derive_seed(seed, "room share"))
{
}

admission_decision admission_control::request(const admission_request& request, const service_room& room,
                                              time_point now)
{
    if (request.deadline <= now)
    {
        return refuse({.requests = 1, .reason = "the caller has left"}, room);
    }
    m_workspaces.record_arrival(request, now);
    if (admits_at_once(request, room, now))
    {
        m_queue.charge(request);
        m_workspaces.record_sent(request, now);
        m_share.sent();
        return admitted{};
    }
    if (const auto it = excess(request, room, now))
    {
        return refuse(*it, room);
    }
    return hold_back(request, room, now);
}

std::optional<admission_ticket> admission_control::next(const service_room& room, time_point now)
{
    const auto* first = m_queue.peek(now);
    if (first == nullptr)
    {
        return std::nullopt;
    }
    const bool advance = may_advance(first->request);
    if (room.slots > 0 && !m_share.available(room, m_queue.startable(now), advance, now))
    {
        return std::nullopt;
    }
    m_share.sent();
    m_workspaces.record_sent(first->request, now);
    return m_queue.pop(now)->ticket;
}

std::vector<admission_control::expired_request> admission_control::expire(const service_room& room,
                                                                          time_point now)
{
    auto result = std::exchange(m_dropped, {});
    const excess_load load{.requests = static_cast<double>(m_queue.startable(now) + 1) + room.others_waiting,
                           .reason = "no room in time"};
    for (const auto& it : m_queue.expire(now))
    {
        result.push_back({it.ticket, refuse(load, room)});
    }
    return result;
}

void admission_control::cancel(admission_ticket ticket)
{
    m_queue.remove(ticket);
    std::erase_if(m_dropped, [&](const auto& it) { return it.ticket == ticket; });
}

void admission_control::completed(time_point now)
{
    m_share.completed();
    m_rate.completed(m_queue.size() > 0, now);
}

void admission_control::record_turn(bool first_turn)
{
    m_turns.record(first_turn);
}

std::size_t admission_control::waiting() const
{
    return m_queue.size();
}

bool admission_control::may_advance(const admission_request& request) const
{
    return !starts_program(request) || m_workspaces.below_share(request);
}

duration admission_control::slack_of(const admission_request& request, time_point now) const
{
    const auto share = m_workspaces.below_share(request) ? max_slack_below_share : max_slack_share;
    return program_slack(request, m_turns.mean(), share, now);
}

bool admission_control::admits_at_once(const admission_request& request, const service_room& room,
                                       time_point now)
{
    // Without a view of the targets, requests are sent as if there were no admission control.
    return room.slots == 0 ||
           (m_queue.startable(now) == 0 && m_share.available(room, 1, may_advance(request), now));
}

std::optional<admission_control::excess_load>
admission_control::excess(const admission_request& request, const service_room& room, time_point now) const
{
    const auto rate = nominal_rate(room);
    const auto ahead = requests_ahead(request, room, now);
    const real_seconds wait{rate > 0 ? ahead / rate : 0};
    const real_seconds until_start_by{latest_start_for_caller(request) - now};
    if (wait > until_start_by)
    {
        return excess_load{(wait - until_start_by).count() * rate, "no room before the caller's deadline"};
    }
    if (!starts_program(request) || ahead <= 0)
    {
        return std::nullopt;
    }
    const auto turns = m_turns.mean();
    const auto wait_per_turn = real_seconds{slack_of(request, now)} / turns;
    if (wait > wait_per_turn)
    {
        return excess_load{(wait - wait_per_turn).count() * rate, "the program could not end in time"};
    }
    return std::nullopt;
}

double admission_control::requests_ahead(const admission_request& request, const service_room& room,
                                         time_point now) const
{
    // The order of the requests that others hold back is not known; it is taken to be like the order here.
    const auto ahead = static_cast<double>(m_queue.ahead_of(request, now));
    const auto waiting = static_cast<double>(m_queue.startable(now));
    const auto of_others = room.others_waiting * (ahead + 1) / (waiting + 1);
    return std::max(0.0, ahead + of_others + 1 - std::max(0.0, room.free));
}

time_point admission_control::start_by(const admission_request& request, time_point now) const
{
    const auto for_caller = latest_start_for_caller(request);
    if (!starts_program(request))
    {
        return for_caller;
    }
    const auto part = m_workspaces.below_share(request) ? first_turn_slack_below_share : first_turn_slack;
    const real_seconds wait{real_seconds{slack_of(request, now)} * part};
    return std::min(for_caller, now + std::chrono::round<duration>(wait));
}

admission_decision admission_control::hold_back(const admission_request& request, const service_room& room,
                                                time_point now)
{
    const auto ticket = m_next_ticket++;
    m_queue.push({.ticket = ticket, .request = request, .arrived = now, .start_by = start_by(request, now)});
    if (m_queue.size() <= queue_limit(m_options, room))
    {
        return held_back{ticket};
    }
    const auto dropped = m_queue.drop_last(now)->ticket;
    auto refusal = refuse({.requests = 1.0 + room.others_waiting, .reason = "queue full"}, room);
    if (dropped == ticket)
    {
        return refusal;
    }
    m_dropped.push_back({dropped, std::move(refusal)});
    return held_back{ticket};
}

not_admitted admission_control::refuse(const excess_load& excess, const service_room& room)
{
    const auto rate = m_rate.of_service(room, m_share.of_in_flight(room));
    return {.retry_after = retry_after(excess.requests, rate, m_options, m_random), .reason = excess.reason};
}

} // namespace masticcourse::gateway

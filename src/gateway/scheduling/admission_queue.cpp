#include "masticcourse/gateway/scheduling/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Level of programs that can't end in time.
constexpr std::uint32_t late_level = lowest_priority + 1;
/// Bounds of the service that one request is charged with. The upper one bounds the time for which a
/// workspace stands back after one long request.
constexpr double min_charge_ms = 1;
constexpr double max_charge_ms = 10'000;
/// Number of workspaces with a record of service above which the records of idle ones at the floor are
/// removed: without a record, a workspace counts as at the floor.
constexpr std::size_t max_idle_workspaces = 256;

/// @return the latest start at which the request's program, or its caller, can still be served in time
time_point latest_start(const admission_request& request)
{
    return request.program_deadline.value_or(request.deadline) - request.expected_duration;
}

std::uint32_t level_of(const admission_request& request, duration waited, time_point now)
{
    if (request.program_deadline && latest_start(request) < now)
    {
        return late_level;
    }
    const auto risen = std::max<duration::rep>(0, waited / duration{priority_advantage});
    const auto priority = std::min(request.priority, lowest_priority);
    return risen >= priority ? 0 : priority - static_cast<std::uint32_t>(risen);
}

bool startable_at(const waiting_request& entry, time_point now)
{
    return entry.start_by >= now;
}

} // namespace

void admission_queue::push(waiting_request entry)
{
    const auto& workspace = entry.request.workspace;
    const auto same_workspace = [&](const waiting_request& it) { return it.request.workspace == workspace; };
    if (std::ranges::none_of(m_waiting, same_workspace))
    {
        m_served[workspace] = std::max(served(workspace), m_served_floor);
    }
    m_waiting.push_back(std::move(entry));
}

const waiting_request* admission_queue::peek(time_point now) const
{
    const auto it = next(now);
    return it == m_waiting.end() ? nullptr : &*it;
}

std::optional<waiting_request> admission_queue::pop(time_point now)
{
    const auto it = next(now);
    if (it == m_waiting.end())
    {
        return std::nullopt;
    }
    if (takes_oldest())
    {
        m_since_oldest = 0;
    }
    else
    {
        ++m_since_oldest;
        raise_served_floor(it->request, now);
    }
    add_service(it->request);
    return extract(it);
}

std::optional<waiting_request> admission_queue::drop_last(time_point now)
{
    const auto counts = waiting_by_workspace();
    const auto rank = [&](const waiting_request& it)
    {
        const auto place = position_of(it, now);
        return std::pair{std::pair{place.level, counts.at(it.request.workspace)}, place};
    };
    const auto last = std::ranges::max_element(m_waiting, {}, rank);
    return last == m_waiting.end() ? std::nullopt : std::optional{extract(last)};
}

std::vector<waiting_request> admission_queue::expire(time_point now)
{
    const auto expired =
        std::ranges::stable_partition(m_waiting, [&](const auto& it) { return startable_at(it, now); });
    std::vector<waiting_request> result{std::make_move_iterator(expired.begin()),
                                        std::make_move_iterator(expired.end())};
    m_waiting.erase(expired.begin(), expired.end());
    return result;
}

bool admission_queue::remove(admission_ticket ticket)
{
    return std::erase_if(m_waiting, [&](const auto& it) { return it.ticket == ticket; }) > 0;
}

void admission_queue::charge(const admission_request& request)
{
    m_served[request.workspace] = std::max(served(request.workspace), m_served_floor);
    if (m_waiting.empty())
    {
        m_served_floor = served(request.workspace);
    }
    add_service(request);
}

std::size_t admission_queue::ahead_of(const admission_request& request, time_point now) const
{
    const auto own_level = level_of(request, duration{}, now);
    std::size_t own = 0;
    std::unordered_map<workspace_id, std::size_t> others;
    for (const auto& it : m_waiting)
    {
        const auto level = level_of(it.request, now - it.arrived, now);
        if (level > own_level || !startable_at(it, now))
        {
            continue;
        }
        if (it.request.workspace != request.workspace)
        {
            ++others[it.request.workspace];
        }
        else if (level < own_level || it.request.under_way || !request.under_way)
        {
            ++own;
        }
    }
    // Workspaces take turns, so each other one has at most as many requests ahead as this one, and one more.
    std::size_t result = own;
    for (const auto& [workspace, count] : others)
    {
        result += std::min(count, own + 1);
    }
    return result;
}

std::size_t admission_queue::startable(time_point now) const
{
    const auto count =
        std::ranges::count_if(m_waiting, [&](const auto& it) { return startable_at(it, now); });
    return static_cast<std::size_t>(count);
}

admission_queue::position admission_queue::position_of(const waiting_request& entry, time_point now) const
{
    const auto lead = std::max(0.0, served(entry.request.workspace) - m_served_floor);
    return {.level = level_of(entry.request, now - entry.arrived, now),
            .lead_steps = std::floor(lead / fair_quantum.count()),
            .new_program = !entry.request.under_way,
            .served = served(entry.request.workspace),
            .latest_start = latest_start(entry.request),
            .ticket = entry.ticket};
}

bool admission_queue::takes_oldest() const
{
    return m_since_oldest + 1 >= oldest_request_interval;
}

admission_queue::iterator admission_queue::next(time_point now) const
{
    return takes_oldest() ? oldest(now) : first_in_order(now);
}

admission_queue::iterator admission_queue::first_in_order(time_point now) const
{
    auto best = m_waiting.end();
    position best_position;
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it)
    {
        const auto place = position_of(*it, now);
        if (startable_at(*it, now) && (best == m_waiting.end() || place < best_position))
        {
            best = it;
            best_position = place;
        }
    }
    return best;
}

admission_queue::iterator admission_queue::oldest(time_point now) const
{
    return std::ranges::find_if(m_waiting, [&](const auto& it) { return startable_at(it, now); });
}

void admission_queue::raise_served_floor(const admission_request& next, time_point now)
{
    double least = served(next.workspace);
    for (const auto& it : m_waiting)
    {
        const bool competes =
            std::min(it.request.priority, lowest_priority) <= std::min(next.priority, lowest_priority);
        if (competes && startable_at(it, now))
        {
            least = std::min(least, served(it.request.workspace));
        }
    }
    m_served_floor = std::max(m_served_floor, least);
}

double admission_queue::served(const workspace_id& workspace) const
{
    const auto it = m_served.find(workspace);
    return it == m_served.end() ? m_served_floor : it->second;
}

std::unordered_map<workspace_id, std::size_t> admission_queue::waiting_by_workspace() const
{
    std::unordered_map<workspace_id, std::size_t> result;
    for (const auto& it : m_waiting)
    {
        ++result[it.request.workspace];
    }
    return result;
}

void admission_queue::add_service(const admission_request& request)
{
    const auto cost = real_milliseconds{request.expected_duration}.count();
    const auto before = served(request.workspace);
    m_served[request.workspace] = before + std::clamp(cost, min_charge_ms, max_charge_ms);
    if (m_served.size() > max_idle_workspaces)
    {
        const auto waiting = waiting_by_workspace();
        std::erase_if(m_served, [&](const auto& it)
                      { return it.second <= m_served_floor && !waiting.contains(it.first); });
    }
}

waiting_request admission_queue::extract(iterator it)
{
    const auto found = m_waiting.begin() + (it - m_waiting.cbegin());
    auto entry = std::move(*found);
    m_waiting.erase(found);
    return entry;
}

} // namespace masticcourse::gateway

#include "masticcourse/policy/target_queue.hpp"

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr token_count step_tokens = 1000;
constexpr int lowest_class = static_cast<int>(service_class::background);

core_duration scaled(core_duration step, token_count tokens, core_duration limit)
{
    return std::min(step * (std::max<token_count>(tokens, 0) / step_tokens), limit);
}

token_count prefill_of(const waiting_call& call)
{
    return std::max<token_count>(call.prompt_tokens - call.expected_cached, 0);
}

token_count cost_of(const waiting_call& call)
{
    return prefill_of(call) + call.max_tokens;
}

} // namespace

core_duration queue_order::longest_delay() const
{
    return class_step * lowest_class + attained_limit + workspace_limit;
}

target_queue::target_queue(const queue_order& order) : m_order(order) {}

bool target_queue::push(waiting_call call)
{
    const call_ref ref = call.call;
    if (m_calls.contains(ref))
    {
        return false;
    }
    auto& workspace = m_workspaces[call.workspace];
    if (workspace.waiting.empty())
    {
        workspace.served = std::max(workspace.served, m_floor);
    }
    const position place = place_of(call);
    workspace.waiting.emplace(place, ref);
    if (call.deadline)
    {
        m_deadlines.emplace(*call.deadline, ref);
    }
    count(call, 1);
    m_calls.emplace(ref, entry{std::move(call), place});
    return true;
}

std::optional<waiting_call> target_queue::pop(core_time now)
{
    const auto* next = peek(now);
    if (next == nullptr)
    {
        return std::nullopt;
    }
    auto& workspace = m_workspaces.at(next->workspace);
    m_floor = std::max(m_floor, least_served());
    workspace.served += cost_of(*next);
    return take(m_calls.find(next->call));
}

const waiting_call* target_queue::peek(core_time /*now*/) const
{
    const auto workspace = next_workspace();
    if (workspace == m_workspaces.end())
    {
        return nullptr;
    }
    return &m_calls.at(workspace->second.waiting.begin()->second).call;
}

bool target_queue::remove(const call_ref& call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
    {
        return false;
    }
    take(it);
    return true;
}

std::vector<waiting_call> target_queue::expire(core_time now)
{
    std::vector<waiting_call> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        expired.push_back(take(m_calls.find(m_deadlines.begin()->second)));
    }
    return expired;
}

std::size_t target_queue::size() const
{
    return m_calls.size();
}

token_count target_queue::queued_prefill() const
{
    return m_prefill;
}

token_count target_queue::queued_decode() const
{
    return m_decode;
}

target_queue::position target_queue::place_of(const waiting_call& call)
{
    core_time due = call.arrived;
    due += m_order.class_step * static_cast<int>(call.priority);
    due += scaled(m_order.attained_step, call.attained, m_order.attained_limit);
    if (call.deadline)
    {
        due = std::min(due, *call.deadline - m_order.deadline_margin);
    }
    return {due, m_sequence++};
}

std::map<workspace_id, target_queue::workspace_queue>::const_iterator target_queue::next_workspace() const
{
    const token_count least = least_served();
    const auto due = [&](const workspace_queue& queue)
    {
        const auto& first = queue.waiting.begin()->first;
        const auto behind = scaled(m_order.workspace_step, queue.served - least, m_order.workspace_limit);
        return position{first.due + behind, first.sequence};
    };
    auto best = m_workspaces.end();
    for (auto it = m_workspaces.begin(); it != m_workspaces.end(); ++it)
    {
        if (best == m_workspaces.end() || due(it->second) < due(best->second))
        {
            best = it;
        }
    }
    return best;
}

token_count target_queue::least_served() const
{
    token_count least = std::numeric_limits<token_count>::max();
    for (const auto& queue : m_workspaces | std::views::values)
    {
        least = std::min(least, queue.served);
    }
    return m_workspaces.empty() ? m_floor : least;
}

void target_queue::count(const waiting_call& call, int sign)
{
    m_prefill += sign * prefill_of(call);
    m_decode += sign * call.max_tokens;
}

waiting_call target_queue::take(std::map<call_ref, entry>::iterator it)
{
    waiting_call call = std::move(it->second.call);
    const auto workspace = m_workspaces.find(call.workspace);
    workspace->second.waiting.erase(it->second.place);
    if (workspace->second.waiting.empty())
    {
        m_workspaces.erase(workspace);
    }
    if (call.deadline)
    {
        m_deadlines.erase({*call.deadline, call.call});
    }
    count(call, -1);
    m_calls.erase(it);
    return call;
}

} // namespace masticcourse

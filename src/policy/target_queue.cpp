#include "masticcourse/policy/target_queue.hpp"

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr token_count tokens_per_step = 1000;
constexpr int lowest_class = static_cast<int>(service_class::background);

core_duration scaled_delay(core_duration step, token_count tokens, core_duration limit)
{
    return std::min(step * (std::max<token_count>(tokens, 0) / tokens_per_step), limit);
}

token_count uncached_prompt_tokens(const waiting_call& call)
{
    return std::max<token_count>(call.prompt_tokens - call.expected_cached, 0);
}

token_count service_cost(const waiting_call& call)
{
    return uncached_prompt_tokens(call) + call.max_tokens;
}

} // namespace

core_duration queue_order::max_total_delay() const
{
    return class_delay * lowest_class + max_attained_delay + max_workspace_delay;
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
        workspace.served_tokens = std::max(workspace.served_tokens, m_served_floor);
    }
    const position queue_position = assign_position(call);
    workspace.waiting.emplace(queue_position, ref);
    if (call.deadline)
    {
        m_deadlines.emplace(*call.deadline, ref);
    }
    adjust_totals(call, 1);
    m_calls.emplace(ref, entry{std::move(call), queue_position});
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
    m_served_floor = std::max(m_served_floor, least_served());
    workspace.served_tokens += service_cost(*next);
    return extract(m_calls.find(next->call));
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
    extract(it);
    return true;
}

std::vector<waiting_call> target_queue::expire(core_time now)
{
    std::vector<waiting_call> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        expired.push_back(extract(m_calls.find(m_deadlines.begin()->second)));
    }
    return expired;
}

std::size_t target_queue::size() const
{
    return m_calls.size();
}

token_count target_queue::queued_prefill() const
{
    return m_queued_prefill;
}

token_count target_queue::queued_decode() const
{
    return m_queued_decode;
}

target_queue::position target_queue::assign_position(const waiting_call& call)
{
    core_time due = call.arrived;
    due += m_order.class_delay * static_cast<int>(call.priority);
    due += scaled_delay(m_order.attained_delay, call.attained, m_order.max_attained_delay);
    if (call.deadline)
    {
        due = std::min(due, *call.deadline - m_order.deadline_margin);
    }
    return {due, m_next_sequence++};
}

std::map<workspace_id, target_queue::workspace_queue>::const_iterator target_queue::next_workspace() const
{
    const token_count least = least_served();
    const auto effective_position = [&](const workspace_queue& queue)
    {
        const auto& first_position = queue.waiting.begin()->first;
        const auto fairness_delay =
            scaled_delay(m_order.workspace_delay, queue.served_tokens - least, m_order.max_workspace_delay);
        return position{first_position.due + fairness_delay, first_position.sequence};
    };
    auto best = m_workspaces.end();
    for (auto it = m_workspaces.begin(); it != m_workspaces.end(); ++it)
    {
        if (best == m_workspaces.end() || effective_position(it->second) < effective_position(best->second))
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
        least = std::min(least, queue.served_tokens);
    }
    return m_workspaces.empty() ? m_served_floor : least;
}

void target_queue::adjust_totals(const waiting_call& call, int sign)
{
    m_queued_prefill += sign * uncached_prompt_tokens(call);
    m_queued_decode += sign * call.max_tokens;
}

waiting_call target_queue::extract(std::map<call_ref, entry>::iterator it)
{
    waiting_call call = std::move(it->second.call);
    const auto workspace = m_workspaces.find(call.workspace);
    workspace->second.waiting.erase(it->second.queue_position);
    if (workspace->second.waiting.empty())
    {
        m_workspaces.erase(workspace);
    }
    if (call.deadline)
    {
        m_deadlines.erase({*call.deadline, call.call});
    }
    adjust_totals(call, -1);
    m_calls.erase(it);
    return call;
}

} // namespace masticcourse

// The system world: what happened in it.
#include "system_node.hpp"

#include <algorithm>

namespace masticcourse::tests
{

namespace
{

constexpr std::size_t trace_length = 400;

} // namespace

void system_world::do_trace(const node& at, const trace_event& event)
{
    ++m_events[event.id];
    std::string line = std::to_string(m_now.time_since_epoch().count()) + " " + at.name.value + " ";
    const auto* const row = find_event(event.id);
    line += row != nullptr ? std::string{row->name} : "?";
    line += " " + event.program.value + " " + event.call.value;
    for (const auto& it : event.fields)
    {
        line += " " + it.key + "=" + it.value;
    }
    note(line);
}

void system_world::note(const std::string& what)
{
    m_trace.push_back(what);
    if (!m_options.keep_trace && m_trace.size() > 2 * trace_length)
    {
        m_trace.erase(m_trace.begin(), m_trace.begin() + trace_length);
    }
}

const system_traffic& system_world::traffic() const
{
    return m_traffic;
}

std::int64_t system_world::weigh_entry(std::size_t entry, const std::function<std::int64_t()>& heap)
{
    const auto before = heap();
    m_nodes[entry]->entry.reset();
    return before - heap();
}

std::int64_t system_world::weigh_target(std::size_t target, const std::function<std::int64_t()>& heap)
{
    const auto before = heap();
    target_node(target).target.reset();
    return before - heap();
}

const target_record& system_world::record(std::size_t target) const
{
    return target_node(target).record;
}

std::uint32_t system_world::runs_of(const call_ref& call) const
{
    std::uint32_t runs = 0;
    for (const auto& it : m_nodes)
    {
        const auto found = it->record.runs.find(call);
        runs += found != it->record.runs.end() ? found->second : 0;
    }
    return runs;
}

token_count system_world::computed_for(const program_id& root) const
{
    token_count sum = 0;
    for (const auto& it : m_nodes)
    {
        for (const auto& [program, tokens] : it->record.computed)
        {
            const bool below = program.value.starts_with(root.value + sub_agent_separator);
            sum += program == root || below ? tokens : 0;
        }
    }
    return sum;
}

bool system_world::any_memory_held() const
{
    return std::ranges::any_of(m_nodes, [](const auto& it) { return !it->record.held.empty(); });
}

entry_counts system_world::entry_state(std::size_t entry) const
{
    const auto& it = *m_nodes[entry];
    return it.entry ? it.entry->counts() : entry_counts{};
}

target_counts system_world::target_state(std::size_t target) const
{
    const auto& it = target_node(target);
    return it.target ? it.target->counts() : target_counts{};
}

bool system_world::entry_alive(std::size_t entry) const
{
    return m_nodes[entry]->alive();
}

bool system_world::target_alive(std::size_t target) const
{
    return target_node(target).alive();
}

std::size_t system_world::shards_owned() const
{
    std::size_t owned = 0;
    for (std::size_t n = 0; n < m_options.entries; ++n)
    {
        owned += entry_state(n).shards_owned;
    }
    return owned;
}

std::uint64_t system_world::events(event_id id) const
{
    const auto it = m_events.find(id);
    return it != m_events.end() ? it->second : 0;
}

std::string system_world::trace() const
{
    std::string text;
    const bool all = m_options.keep_trace || m_trace.size() <= trace_length;
    const auto from = all ? 0 : m_trace.size() - trace_length;
    for (auto n = from; n < m_trace.size(); ++n)
    {
        text += m_trace[n] + "\n";
    }
    return text;
}

std::string tool_answer(const call_ref& call, const std::string& input)
{
    return "receipt " + call.program.value + " " + call.key.value + " " + input;
}

} // namespace masticcourse::tests

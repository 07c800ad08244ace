#include "prefix_cache.hpp"

#include "masticcourse/model/call.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace masticcourse::standins
{

std::vector<prompt_segment> to_segments(const std::vector<std::string>& prompt)
{
    std::vector<prompt_segment> segments;
    segments.reserve(prompt.size());
    prefix_key parent = empty_prefix;
    for (const auto& text : prompt)
    {
        const prefix_key key = extend_prefix_key(parent, text);
        segments.push_back({.key = key, .parent = parent, .tokens = estimate_tokens(text)});
        parent = key;
    }
    return segments;
}

bool prefix_cache::is_unreferenced(const node& n)
{
    return n.holders.empty() && n.pins == 0 && n.children == 0;
}

prefix_cache::prefix_cache(token_count capacity) : m_capacity(capacity) {}

std::size_t prefix_cache::cached_segments(const std::vector<prompt_segment>& prompt) const
{
    const auto end = std::ranges::find_if_not(prompt,
                                              [this](const prompt_segment& segment)
                                              {
                                                  const auto it = m_nodes.find(segment.key);
                                                  return it != m_nodes.end() && it->second.computed;
                                              });
    return static_cast<std::size_t>(end - prompt.begin());
}

token_count prefix_cache::missing_tokens(const std::vector<prompt_segment>& prompt) const
{
    token_count missing = 0;
    for (const auto& segment : prompt)
    {
        missing += m_nodes.contains(segment.key) ? 0 : segment.tokens;
    }
    return missing;
}

bool prefix_cache::make_room(token_count tokens)
{
    while (m_used + tokens > m_capacity && !m_evictable.empty())
    {
        evict(m_evictable.begin()->key);
    }
    return m_used + tokens <= m_capacity;
}

void prefix_cache::pin(const program_id& program, const std::vector<prompt_segment>& prompt,
                       std::size_t cached, core_time now)
{
    for (std::size_t n = 0; n < prompt.size(); ++n)
    {
        node& segment = find_or_create(prompt[n]);
        add_holder(segment, program);
        segment.pins += 1;
        segment.hit = segment.hit || n < cached;
        m_counters.reused += n < cached ? prompt[n].tokens : 0;
        touch(segment, now);
    }
}

void prefix_cache::unpin(const std::vector<prompt_segment>& prompt, core_time now)
{
    // Children before parents, so that an uncomputed tail is removed as a whole.
    for (const auto& it : std::views::reverse(prompt))
    {
        node& segment = m_nodes.at(it.key);
        segment.pins -= 1;
        touch(segment, now);
        const bool uncomputed = segment.pins == 0 && segment.children == 0 && !segment.computed;
        if (uncomputed || is_unreferenced(segment))
        {
            erase(it.key);
        }
    }
}

void prefix_cache::mark_computed(const prompt_segment& segment)
{
    m_counters.prefilled += segment.tokens;
    const bool first_time = m_computed_keys.insert(segment.key).second;
    m_counters.recomputed += first_time ? 0 : segment.tokens;
    m_nodes.at(segment.key).computed = true;
}

bool prefix_cache::insert(const program_id& program, const prompt_segment& segment, core_time now)
{
    const bool parent_missing = segment.parent != empty_prefix && !m_nodes.contains(segment.parent);
    const bool already_cached = m_nodes.contains(segment.key);
    if (parent_missing || (!already_cached && m_used + segment.tokens > m_capacity))
    {
        return false;
    }
    node& n = find_or_create(segment);
    add_holder(n, program);
    n.computed = true;
    m_computed_keys.insert(segment.key);
    touch(n, now);
    return true;
}

void prefix_cache::reserve(token_count tokens)
{
    m_used += tokens;
}

void prefix_cache::unreserve(token_count tokens)
{
    m_used -= tokens;
}

void prefix_cache::free_program(const program_id& program)
{
    const auto it = m_program_keys.find(program);
    if (it == m_program_keys.end())
    {
        return;
    }
    const std::set<prefix_key> keys = std::move(it->second);
    m_program_keys.erase(it);
    std::vector<std::pair<std::uint32_t, prefix_key>> by_depth;
    for (const prefix_key key : keys)
    {
        node& n = m_nodes.at(key);
        n.holders.erase(program);
        by_depth.emplace_back(n.depth, key);
    }
    std::ranges::sort(by_depth, std::ranges::greater{});
    for (const auto& [depth, key] : by_depth)
    {
        const auto n = m_nodes.find(key);
        if (n != m_nodes.end() && is_unreferenced(n->second))
        {
            erase(key);
        }
    }
}

std::vector<cached_program> prefix_cache::cached_programs() const
{
    std::vector<cached_program> list;
    for (const auto& [program, keys] : m_program_keys)
    {
        token_count tokens = 0;
        for (const prefix_key key : keys)
        {
            tokens += m_nodes.at(key).segment.tokens;
        }
        list.push_back({.program = program, .tokens = tokens});
    }
    return list;
}

std::vector<prompt_segment> prefix_cache::program_segments(const program_id& program) const
{
    const auto it = m_program_keys.find(program);
    if (it == m_program_keys.end())
    {
        return {};
    }
    std::vector<const node*> nodes;
    for (const prefix_key key : it->second)
    {
        nodes.push_back(&m_nodes.at(key));
    }
    std::ranges::stable_sort(nodes, {}, &node::depth);
    std::vector<prompt_segment> segments;
    for (const node* n : nodes)
    {
        if (n->computed)
        {
            segments.push_back(n->segment);
        }
    }
    return segments;
}

prefix_cache::node& prefix_cache::find_or_create(const prompt_segment& segment)
{
    const auto [it, inserted] = m_nodes.try_emplace(segment.key);
    node& n = it->second;
    if (!inserted)
    {
        return n;
    }
    n.segment = segment;
    m_used += segment.tokens;
    if (segment.parent != empty_prefix)
    {
        node& parent = m_nodes.at(segment.parent);
        n.depth = parent.depth + 1;
        parent.children += 1;
        update_rank(parent);
    }
    return n;
}

void prefix_cache::add_holder(node& n, const program_id& program)
{
    n.holders.insert(program);
    m_program_keys[program].insert(n.segment.key);
}

void prefix_cache::touch(node& n, core_time now)
{
    m_evictable.erase({.last_use = n.last_use, .key = n.segment.key});
    n.last_use = now;
    update_rank(n);
}

void prefix_cache::update_rank(node& n)
{
    const eviction_rank rank{.last_use = n.last_use, .key = n.segment.key};
    if (n.pins == 0 && n.children == 0)
    {
        m_evictable.insert(rank);
    }
    else
    {
        m_evictable.erase(rank);
    }
}

void prefix_cache::erase(prefix_key key)
{
    const auto it = m_nodes.find(key);
    const node& n = it->second;
    m_evictable.erase({.last_use = n.last_use, .key = key});
    m_used -= n.segment.tokens;
    for (const auto& program : n.holders)
    {
        const auto program_entry = m_program_keys.find(program);
        program_entry->second.erase(key);
        if (program_entry->second.empty())
        {
            m_program_keys.erase(program_entry);
        }
    }
    const prefix_key parent = n.segment.parent;
    m_nodes.erase(it);
    if (parent != empty_prefix)
    {
        node& parent_node = m_nodes.at(parent);
        parent_node.children -= 1;
        update_rank(parent_node);
        if (is_unreferenced(parent_node))
        {
            erase(parent);
        }
    }
}

void prefix_cache::evict(prefix_key key)
{
    const node& n = m_nodes.at(key);
    m_counters.evicted += n.segment.tokens;
    m_counters.evicted_unused += n.hit ? 0 : n.segment.tokens;
    erase(key);
}

} // namespace masticcourse::standins

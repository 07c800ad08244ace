#include "masticcourse/gateway/turn_cache.hpp"

#include <utility>

namespace masticcourse::gateway
{

std::size_t turn_cache::size_of(const entry& it)
{
    /// Approximate size of the list node, index node and control block.
    constexpr std::size_t overhead = 256;
    return overhead + memory_size(it.turn->ancestors) + prompt_size(*it.turn);
}

void turn_cache::put(const request_id& id, turn_ptr turn)
{
    if (m_index.contains(id))
    {
        return;
    }
    m_entries.push_front({id, std::move(turn)});
    m_index[id] = m_entries.begin();
    m_bytes += size_of(m_entries.front());
    evict();
}

void turn_cache::set_capacity(std::size_t bytes)
{
    m_capacity = bytes;
    evict();
}

void turn_cache::evict()
{
    while (m_bytes > m_capacity && m_entries.size() > 1)
    {
        m_bytes -= size_of(m_entries.back());
        m_index.erase(m_entries.back().id);
        m_entries.pop_back();
    }
}

turn_ptr turn_cache::get(const request_id& id)
{
    const auto it = m_index.find(id);
    if (it == m_index.end())
    {
        return nullptr;
    }
    m_entries.splice(m_entries.begin(), m_entries, it->second);
    return it->second->turn;
}

} // namespace masticcourse::gateway

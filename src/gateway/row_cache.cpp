#include "masticcourse/gateway/row_cache.hpp"

#include <iterator>

namespace masticcourse::gateway
{

namespace
{

std::size_t size_of(const stored_row& it)
{
    /// Approximate size of a list node and an index node.
    constexpr std::size_t overhead = 200;
    return overhead + it.name.table.size() + 2 * it.name.key.size() + it.value.size();
}

} // namespace

void row_cache::put(const stored_row& row)
{
    if (const auto known = m_index.find(row.name); known != m_index.end())
    {
        if (known->second->version >= row.version)
        {
            return;
        }
        m_bytes -= size_of(*known->second);
        m_rows.erase(known->second);
        m_index.erase(known);
    }
    m_rows.push_front(row);
    m_index[row.name] = m_rows.begin();
    m_bytes += size_of(row);
    evict();
}

void row_cache::set_capacity(std::size_t bytes)
{
    m_capacity = bytes;
    evict();
}

void row_cache::evict()
{
    while (m_bytes > m_capacity && m_rows.size() > 1)
    {
        evict_oldest();
    }
}

void row_cache::evict_oldest()
{
    m_bytes -= size_of(m_rows.back());
    m_index.erase(m_rows.back().name);
    m_rows.pop_back();
}

const stored_row* row_cache::find(const row_name& name) const
{
    const auto it = m_index.find(name);
    return it != m_index.end() ? &*it->second : nullptr;
}

std::vector<stored_row> row_cache::range(std::string_view table, std::string_view from,
                                         std::string_view to) const
{
    std::vector<stored_row> found;
    const auto begin = m_index.lower_bound({std::string{table}, std::string{from}});
    const auto end = m_index.lower_bound({std::string{table}, std::string{to}});
    for (auto it = begin; it != end; ++it)
    {
        found.push_back(*it->second);
    }
    return found;
}

} // namespace masticcourse::gateway

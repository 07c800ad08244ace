#include "masticcourse/gateway/feed/table_mirror.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace masticcourse::gateway
{

namespace
{

/// Number of removed rows that are remembered. A follower that is further behind gets the whole table.
constexpr std::size_t max_removed_rows = 1'000;

} // namespace

void table_mirror::load(const std::vector<stored_row>& rows, row_version version)
{
    std::unordered_set<std::string> present;
    for (const auto& it : rows)
    {
        present.insert(it.name.key);
        apply(it, version);
    }
    std::vector<stored_row> gone;
    for (const auto& [key, row] : m_rows)
    {
        if (!row.removed && !present.contains(key) && row.version <= version)
        {
            gone.push_back({.name = row.name, .version = version, .removed = true});
        }
    }
    std::ranges::for_each(gone, [this](stored_row& it) { put(std::move(it)); });
    trim_removed();
}

bool table_mirror::apply(const stored_row& row, row_version feed_version)
{
    const auto known = m_rows.find(row.name.key);
    auto applied = row;
    if (row.removed && known != m_rows.end() && known->second.removed)
    {
        return false;
    }
    if (row.removed)
    {
        // A store may report the last version of a removed row instead of the version of its removal.
        const bool has_own_version = known == m_rows.end() || row.version > known->second.version;
        applied.version = has_own_version ? row.version : std::max(row.version, feed_version);
        applied.value.clear();
    }
    if (known != m_rows.end() && applied.version <= known->second.version)
    {
        return false;
    }
    put(std::move(applied));
    trim_removed();
    return true;
}

std::optional<std::vector<stored_row>> table_mirror::changes_after(row_version version) const
{
    if (version < m_forgotten)
    {
        return std::nullopt;
    }
    std::vector<stored_row> changes;
    std::transform(m_by_version.lower_bound({version + 1, ""}), m_by_version.end(),
                   std::back_inserter(changes), [this](const auto& it) { return m_rows.at(it.second); });
    return changes;
}

std::vector<stored_row> table_mirror::rows() const
{
    std::vector<stored_row> all;
    for (const auto& [key, row] : m_rows)
    {
        if (!row.removed)
        {
            all.push_back(row);
        }
    }
    return all;
}

void table_mirror::put(stored_row row)
{
    const auto key = row.name.key;
    if (const auto known = m_rows.find(key); known != m_rows.end())
    {
        m_by_version.erase({known->second.version, key});
        m_removed.erase({known->second.version, key});
    }
    m_by_version.insert({row.version, key});
    if (row.removed)
    {
        m_removed.insert({row.version, key});
    }
    m_rows[key] = std::move(row);
}

void table_mirror::trim_removed()
{
    while (m_removed.size() > max_removed_rows)
    {
        const auto oldest = *m_removed.begin();
        m_forgotten = std::max(m_forgotten, oldest.first);
        m_removed.erase(oldest);
        m_by_version.erase(oldest);
        m_rows.erase(oldest.second);
    }
}

} // namespace masticcourse::gateway

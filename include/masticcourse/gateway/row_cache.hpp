/// @file
/// An in-memory cache of rows with a bounded size; the least recently written rows are evicted first.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticcourse::gateway
{

/// Caches rows of any partition. The partition is no part of the cache key since it follows from the row's
/// key.
class row_cache
{
  public:
    explicit row_cache(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}

    /// Adds or updates a row that the store holds or has held. Ignored if a row of the same or a newer
    /// version is cached.
    void put(const stored_row& row);

    /// Changes the capacity and evicts what is over it.
    void set_capacity(std::size_t bytes);

    /// @return the cached row, or null; valid until the next put() or set_capacity()
    [[nodiscard]] const stored_row* find(const row_name& name) const;

    /// @return the cached rows of @a table with keys in [from, to), sorted by key
    [[nodiscard]] std::vector<stored_row> range(std::string_view table, std::string_view from,
                                                std::string_view to) const;

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

  private:
    using row_list = std::list<stored_row>;

    void evict();
    void evict_oldest();

    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    /// Most recently written row first.
    row_list m_rows;
    std::map<row_name, row_list::iterator> m_index;
};

} // namespace masticcourse::gateway

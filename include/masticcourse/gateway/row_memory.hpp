/// @file
/// Rows as they were last written or read here, the least recently used given up first.
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

/// Holds rows of any partition: a row's partition follows from its key.
class row_cache
{
  public:
    explicit row_cache(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}

    /// Remembers a row that the store is known to hold, or to have held: an older version changes nothing.
    void put(const stored_row& row);

    /// @return null if it is not remembered; valid until the next put()
    [[nodiscard]] const stored_row* find(const row_name& name) const;

    /// @return the remembered rows of @a table whose keys lie in [from, to), in order of their keys
    [[nodiscard]] std::vector<stored_row> range(std::string_view table, std::string_view from,
                                                std::string_view to) const;

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

  private:
    using row_list = std::list<stored_row>;

    void evict_oldest();

    std::size_t m_capacity;
    std::size_t m_bytes = 0;
    /// Most recently written first.
    row_list m_rows;
    std::map<row_name, row_list::iterator> m_index;
};

} // namespace masticcourse::gateway

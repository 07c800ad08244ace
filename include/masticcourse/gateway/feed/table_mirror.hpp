/// @file
/// A copy of a followed table that tells which rows changed after a version, so that a gateway can pass on
/// changes to others that have read the table up to different versions.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticcourse::gateway
{

class table_mirror
{
  public:
    /// Replaces the content. Rows that are missing from @a rows become removed ones.
    /// @param version the version that the rows were read at
    void load(const std::vector<stored_row>& rows, row_version version);

    /// Applies a changed or removed row. A row that is older than the known one is ignored.
    /// @param feed_version the version up to which the feed that contained the row was read
    /// @return whether the row was applied
    bool apply(const stored_row& row, row_version feed_version);

    /// @return the version of the newest change
    [[nodiscard]] row_version last_change() const
    {
        return m_by_version.empty() ? 0 : m_by_version.rbegin()->first;
    }

    /// @return the rows that changed or were removed after @a version, in the order of their versions;
    /// nothing if removed rows since then are no longer known
    [[nodiscard]] std::optional<std::vector<stored_row>> changes_after(row_version version) const;

    /// @return the rows that exist
    [[nodiscard]] std::vector<stored_row> rows() const;

  private:
    void put(stored_row row);
    /// Forgets the removed rows that were removed first, up to the limit.
    void trim_removed();

    std::unordered_map<std::string, stored_row> m_rows;
    /// Keys of all rows, removed ones included.
    std::set<std::pair<row_version, std::string>> m_by_version;
    std::set<std::pair<row_version, std::string>> m_removed;
    /// Removed rows up to this version may have been forgotten.
    row_version m_forgotten = 0;
};

} // namespace masticcourse::gateway

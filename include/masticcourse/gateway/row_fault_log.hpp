/// @file
/// Logs rows that can't be read, once for each version of a row.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <map>
#include <string>

namespace masticcourse::gateway
{

class row_fault_log
{
  public:
    /// @param why what is wrong with the row
    void report(const row_name& name, row_version version, const std::string& why);

    /// The row can be read now.
    void clear(const row_name& name);

  private:
    std::map<row_name, row_version> m_reported;
};

} // namespace masticcourse::gateway

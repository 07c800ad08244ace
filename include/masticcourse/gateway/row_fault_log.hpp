/// @file
/// Logs rows that can't be parsed, once per row version.
#pragma once

#include "masticcourse/gateway/row_store.hpp"

#include <map>
#include <string>

namespace masticcourse::gateway
{

class row_fault_log
{
  public:
    /// Logs an invalid row unless this version of it was the last one logged.
    /// @param why what is wrong with the row
    void report(const row_name& name, row_version version, const std::string& why);

    /// Forgets a row that has become valid.
    void clear(const row_name& name);

  private:
    std::map<row_name, row_version> m_reported;
};

} // namespace masticcourse::gateway

/// @file
/// The followed tables by which requests are decided, taken together: the configuration and the targets.
#pragma once

#include "masticcourse/gateway/feed/table_age.hpp"
#include "masticcourse/gateway/feed/table_follower.hpp"

#include <functional>

namespace masticcourse::gateway
{

class followed_tables
{
  public:
    /// Both followers must outlive this object.
    followed_tables(table_follower& config, table_follower& targets) : m_config(config), m_targets(targets) {}

    /// @return the greater of the tables' ages
    [[nodiscard]] duration age() const;

    /// @return table_currency::current only if both tables are current; table_currency::out_of_date if either
    /// is out of date
    [[nodiscard]] table_currency currency() const;

    /// @return why the store counts as away for one of the tables
    [[nodiscard]] outage_evidence evidence() const;

    /// Reads the tables that are out of date from the store.
    /// @param on_done called once, after read_patience at the latest; currency() then tells the result
    void refresh(const std::function<void()>& on_done);

  private:
    table_follower& m_config;
    table_follower& m_targets;
};

} // namespace masticcourse::gateway

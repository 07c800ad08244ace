/// @file
/// Keeps up with one table of the store: reads it whole, then follows its changes; reads it again when the
/// store has dropped the changes since.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <functional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

struct follower_callbacks
{
    /// The whole table as of one moment.
    std::function<void(const std::vector<stored_row>&)> on_snapshot;
    /// One row changed or was removed.
    std::function<void(const stored_row&)> on_change;
};

class table_follower
{
  public:
    /// @param table followed in its partition without a name
    table_follower(row_store& store, std::string table, delay_function delay, follower_callbacks callbacks);

    void start();

    /// @return whether the table has been read since the start
    [[nodiscard]] bool loaded() const
    {
        return m_loaded;
    }

  private:
    void read();
    void follow();
    void on_feed(const feed_reply& reply);
    void retry_later(void (table_follower::*step)());

    row_store& m_store;
    std::string m_table;
    delay_function m_delay;
    follower_callbacks m_callbacks;
    row_version m_version = 0;
    bool m_loaded = false;
};

} // namespace masticcourse::gateway

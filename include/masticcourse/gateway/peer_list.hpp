/// @file
/// Gateway discovery through the store: each gateway refreshes its own entry and reads the others'.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

class peer_list
{
  public:
    /// @param node key of this gateway's entry
    peer_list(row_store& store, peer_directory& peers, std::string node, peer self, delay_function delay,
              clock_function clock);

    void start();

    /// Removes this gateway's entry from the list.
    void leave();

  private:
    /// Version of an entry and the time at which this gateway first saw that version.
    struct last_change
    {
        row_version version = 0;
        time_point at;
    };

    void announce();
    void read_peers();
    void update_peers(const std::vector<stored_row>& rows);

    row_store& m_store;
    peer_directory& m_peers;
    std::string m_node;
    peer m_self;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<std::string, last_change> m_last_changes;
    bool m_leaving = false;
};

} // namespace masticcourse::gateway

/// @file
/// Gateway discovery through the store: each gateway refreshes its own entry and follows the others'. The
/// entries of a failure domain form a partition, so that refreshes do not all wait for the same one.
#pragma once

#include "masticcourse/gateway/feed/table_follower.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

class peer_list
{
  public:
    /// @param node key of this gateway's entry
    peer_list(const feed_context& context, std::string node, peer self);

    /// @param on_first_read called once the first gateways of the failure domain have been read or could not
    /// be
    void start(const std::function<void()>& on_first_read = {});

    /// Removes this gateway's entry from the list.
    void leave();

    /// @return the follower of the table of gateways, for the gateways that follow it through this one
    [[nodiscard]] table_follower& table()
    {
        return m_table;
    }

    /// Table of gateways: maps a node name to "ip:port", the CPU allotment in cores and the failure domain.
    static constexpr const char* table_name = "gateways";

  private:
    struct entry
    {
        peer gateway;
        row_version version = 0;
        /// When this gateway first saw that version.
        time_point seen_at;
    };

    void announce();
    /// Reads enough gateways of this failure domain to find one to follow the whole list through.
    /// @param reads_left how often to read until there is one
    void read_first_peers(int reads_left, const std::function<void()>& on_first_read);
    void apply(const stored_row& row);
    void load(const std::vector<stored_row>& rows);
    void schedule_update();
    void update_peers();
    /// @return the gateways whose entries have not expired, except this one
    [[nodiscard]] std::vector<peer> current_peers() const;
    void update_periodically();
    [[nodiscard]] milliseconds jittered(milliseconds interval);

    feed_context m_context;
    std::string m_node;
    peer m_self;
    std::unordered_map<std::string, entry> m_entries;
    table_follower m_table;
    bool m_leaving = false;
    bool m_update_scheduled = false;
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway

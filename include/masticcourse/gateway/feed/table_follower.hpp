/// @file
/// Follows one table of the store, either in the store itself or through another gateway, and passes its
/// changes on to the gateways that follow it through this one.
///
/// - A gateway that waits for changes gets a reply whenever its source has heard from the store, changes or
///   not. So what any gateway knows is hardly older than what the roots know, however deep the tree is.
/// - Each reply states how old the sender's knowledge is. If it is too old, or there is no reply, the next
///   source is asked, and then the store. The gateways share the rate of these calls to the store.
/// - Rows carry versions and older ones are ignored, so that a change of the source never sets a row back.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/feed/feed_messages.hpp"
#include "masticcourse/gateway/feed/table_mirror.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

struct follower_callbacks
{
    /// Called with a consistent snapshot of the table.
    std::function<void(const std::vector<stored_row>&)> on_snapshot;
    /// Called for each row that was changed or removed.
    std::function<void(const stored_row&)> on_change;
};

struct followed_table
{
    std::string name;
    /// Time from a change until the next changes are asked for: changes that come in quick succession are
    /// passed on together.
    milliseconds min_interval{};
    /// Whether the rows are in several partitions; otherwise all are in the one with the empty name.
    bool partitioned = false;
};

/// What a follower reads from and which clocks it uses. The references must outlive the follower.
struct feed_context
{
    row_store& store;
    peer_directory& peers;
    /// Sends a relay_request to another gateway.
    peer_call relay;
    delay_function delay;
    clock_function clock;
    /// Clock that also advances while the VM is suspended; ages are measured with it.
    clock_function boottime_clock;
    /// Each component that is created from the context derives its own seed.
    random_seed seed;
    /// Receives, with the name of a table, the age that it had reached when it was confirmed again. May be
    /// empty.
    std::function<void(const std::string& table, duration age)> record_age = {};
};

class table_follower
{
  public:
    using reply_callback = std::function<void(const relay_reply&)>;

    table_follower(feed_context context, followed_table table, follower_callbacks callbacks);

    void start();

    /// @return whether a snapshot has been read since start()
    [[nodiscard]] bool loaded() const
    {
        return m_loaded;
    }

    /// @return the time since this gateway last failed to reach the store, or the gateways that it follows
    /// had no way to it
    [[nodiscard]] duration time_since_failure() const;
    /// @return the time since the table was last known to be current; the longest duration if it never was
    [[nodiscard]] duration age() const;
    /// @return whether the table has been read but not been confirmed for longer than any call takes
    [[nodiscard]] bool out_of_date() const;

    /// Replies to a gateway that follows the table through this one: at once if there are changes, otherwise
    /// when the store has been heard from.
    void serve(const relay_request& request, reply_callback on_reply);

  private:
    struct waiting_peer
    {
        row_version after = 0;
        reply_callback on_reply;
    };

    void follow();
    void follow_later(milliseconds delay);
    /// Logs what is followed from now on if it is not what was followed before.
    /// @param source the address of a gateway, or "store"
    void note_source(const std::string& source);
    /// @return how long a call may wait so that the pause before it does not delay the next confirmation
    [[nodiscard]] milliseconds wait_after_pause(milliseconds wait) const;
    void follow_peer(const std::string& address);
    void on_relayed(const std::string& address, const std::optional<std::string>& bytes);
    void on_stale_source(const std::string& address, milliseconds age);
    void follow_store();
    void on_feed(const feed_reply& reply);
    void read();
    void read_partitions(std::vector<std::string> partitions, query_reply so_far);
    void on_store_failed();
    void load(const std::vector<stored_row>& rows, row_version version);
    /// @return whether any row was applied
    bool apply(const std::vector<stored_row>& rows, row_version version);
    /// Records that the store had no changes after m_version at @a at, and replies to the waiting gateways.
    void confirm(time_point at);
    void reply_to_all();
    [[nodiscard]] duration time_since_feed_failure() const;
    [[nodiscard]] relay_reply reply_after(row_version after) const;
    [[nodiscard]] milliseconds random_part_of(milliseconds interval);

    feed_context m_context;
    followed_table m_table;
    follower_callbacks m_callbacks;
    table_mirror m_mirror;
    row_version m_version = 0;
    bool m_loaded = false;
    /// When the store was last known to have no changes after m_version; boot time.
    std::optional<time_point> m_confirmed_at;
    /// When this gateway, or by its account the source, last had no way to the table; boot time.
    std::optional<time_point> m_feed_failed_at;
    /// The store is followed until this time, although there are sources.
    time_point m_store_until{};
    /// Earliest time for the next call to the store while there are sources.
    time_point m_next_store_call{};
    /// What is followed: the address of a gateway, or "store".
    std::string m_source;
    bool m_store_failing = false;
    milliseconds m_retry_delay{};
    /// The pause before the current call.
    milliseconds m_pause{};
    std::map<std::uint64_t, waiting_peer> m_waiting;
    std::uint64_t m_last_waiting = 0;
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway

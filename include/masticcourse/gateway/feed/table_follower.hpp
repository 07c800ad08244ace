/// @file
/// Follows one table of the store, either in the store itself or through another gateway, and passes its
/// changes on to the gateways that follow it through this one.
///
/// - A gateway that waits for changes gets a reply whenever its source has heard from the store, changes or
///   not. So what any gateway knows is hardly older than what the roots know, however deep the tree is.
/// - Each reply states how old the sender's knowledge is; the time on the way is added. If the knowledge is
///   too old, or there is no reply, the next source is asked, and then the store.
/// - If the table has not been confirmed by a certain age (late_after()), the store is read while the call
///   under way goes on, and the sources are asked in turn while the store does not answer. The gateways share
///   the rate of further reads.
/// - Rows carry versions and older ones are ignored, so that a change of the source never sets a row back.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/feed/feed_messages.hpp"
#include "masticcourse/gateway/feed/table_age.hpp"
#include "masticcourse/gateway/feed/table_mirror.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
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
    relay_call relay;
    delay_function delay;
    clock_function clock;
    /// Clock that also advances while the VM is suspended; ages are measured with it.
    clock_function boottime_clock;
    /// Each component that is created from the context derives its own seed.
    random_seed seed;
    /// Receives, with the name of a table, the age that it had reached when it was confirmed again. May be
    /// empty.
    std::function<void(const std::string& table, duration age)> record_age = {};
    /// Clock of attended_time, with which the wait for a read of the store is measured. If empty, all time
    /// counts as attended.
    clock_function attended_clock = nullptr;
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
    /// @return whether requests may be decided by the table
    [[nodiscard]] table_currency currency() const;
    /// @return why the store counts as away, whatever the age of the table
    [[nodiscard]] outage_evidence evidence() const;

    /// Reads the store if the table is out of date.
    /// @param on_done called once the table is current or the store counts as away, after read_patience at
    /// the latest
    void refresh(std::function<void()> on_done);

    /// Replies to a gateway that follows the table through this one: at once if there are changes, otherwise
    /// when the store has been heard from.
    void serve(const relay_request& request, reply_callback on_reply);

  private:
    /// A read of the store that does not wait for changes.
    struct store_read
    {
        /// Distinguishes it from later reads.
        std::uint64_t number = 0;
        /// When it began, in attended time and in boot time.
        time_point attended;
        time_point sent;
        /// Age of the table at the beginning.
        duration age{};
    };

    struct waiting_peer
    {
        row_version after = 0;
        /// When its request was received; boot time.
        time_point received;
        reply_callback on_reply;
    };

    void follow();
    void follow_later(milliseconds pause);
    /// Logs what is followed from now on if it is not what was followed before.
    /// @param source the address of a gateway, or "store"
    /// @return whether it was something else
    bool note_source(const std::string& source);
    /// @name The call or pause under way
    /// Each has a number. What an earlier call brings is used, but does not start the next one.
    /// @{
    [[nodiscard]] std::uint64_t begin_call();
    [[nodiscard]] bool is_current(std::uint64_t call) const
    {
        return call == m_call;
    }
    /// @}
    void follow_peer(const std::string& address, bool source_changed);
    /// @param sent when the request was sent; boot time
    void on_relayed(std::uint64_t call, const std::string& address, time_point sent,
                    const std::optional<relayed_reply>& reply);
    /// @return when the store was last known to have no later changes than @a reply tells; boot time
    [[nodiscard]] time_point evidence_of(const relay_reply& reply, time_point sent,
                                         std::optional<milliseconds> held) const;
    /// @param evidence when the reply's knowledge was valid; boot time
    void use_reply(const relay_reply& reply, time_point evidence);
    void on_stale_source(const std::string& address);
    void follow_store();
    void on_feed(std::uint64_t call, time_point sent, milliseconds wait, const feed_reply& reply);
    /// Reads the whole table.
    void read_whole();
    void read_partitions(const store_read& read, std::vector<std::string> partitions, query_reply so_far);
    /// @name The read of the store under way, beside the call or pause
    /// Neither holds the other up: a source that is silent does not delay the read, and a read that fails
    /// does not keep the sources from being asked.
    /// @{
    store_read begin_read();
    void end_read(const store_read& read, std::string_view outcome);
    /// Asks the store for the changes that it has, unless it is being read.
    void read_changes();
    void on_read(const store_read& read, const feed_reply& reply);
    void on_whole_read_failed(const store_read& read);
    /// @}
    void on_store_failed();
    /// @return the delay after which the store may be asked again
    [[nodiscard]] milliseconds note_store_failure();
    void load(const std::vector<stored_row>& rows, row_version version);
    /// @return whether any row was applied
    bool apply(const std::vector<stored_row>& rows, row_version version);
    /// @name Age of the table
    /// @{
    /// @return the time until the table is late; 0 or less if it is
    [[nodiscard]] milliseconds time_until_late() const;
    /// Checks after @a delay whether the table is late; replaces an earlier check.
    void check_age_after(milliseconds delay);
    /// Reads the store if the table has not been confirmed in time.
    void check_age();
    /// Reads the store unless it is being read, or this gateway's turn has not come yet.
    /// @return whether it is being read
    bool read_store_now(std::string_view why);
    /// Takes this gateway's turn to read the store although there are gateways to follow.
    void take_turn();
    /// Calls those who wait for a refresh.
    void end_refresh();
    /// @}
    /// Records that the store had no changes after m_version at @a at, in boot time, and replies to the
    /// waiting gateways.
    void confirm(time_point at);
    void reply_to_all();
    [[nodiscard]] duration time_since_feed_failure() const;
    [[nodiscard]] relay_reply reply_to(const waiting_peer& it) const;
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
    /// Number of the call or pause under way.
    std::uint64_t m_call = 0;
    /// Whether the next call is made once the read under way has ended.
    bool m_awaits_read = false;
    std::optional<store_read> m_reading;
    std::uint64_t m_last_read = 0;
    /// Number of the last check of the age; earlier ones are void.
    std::uint64_t m_age_check = 0;
    std::vector<std::function<void()>> m_on_refreshed;
    /// Number of the last refresh; the timers of earlier ones are void.
    std::uint64_t m_refresh = 0;
    std::map<std::uint64_t, waiting_peer> m_waiting;
    std::uint64_t m_last_waiting = 0;
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway

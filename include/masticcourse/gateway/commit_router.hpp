/// @file
/// Forwards commits to their partition's collector, so that each store partition has one writer instead of
/// one per gateway.
///
/// Load pattern: tens of gateways complete hundreds of turns per second. If each wrote its own changes,
/// hardly any two would share a transaction, and the transactions would exhaust the partitions' throughput
/// and the store's rate limit. Batching through collectors needs a fraction of the transactions.
///
/// This also holds while collectors fail: a change that a collector did not write goes to the next one in
/// rank, so the number of writers per partition does not grow with the number of gateways that lost their
/// collector. A gateway writes a change itself only after several collectors did not respond to it. After
/// several consecutive collectors reported that they cannot reach the store, the change is deferred: the
/// store is probably unreachable for all gateways, and trying further collectors would cost a number of
/// messages quadratic in the number of gateways.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/peer_directory.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// A change and its partition.
struct routed_change
{
    std::string partition;
    row_change change;
};

/// @name Wire format between gateways
/// @{

/// @param now reference time; expiry times are encoded relative to it
[[nodiscard]] std::string encode_changes(const std::vector<routed_change>& changes, time_point now);
/// @return nothing if @a bytes cannot be decoded
[[nodiscard]] std::optional<std::vector<routed_change>> decode_changes(const std::string& bytes,
                                                                       time_point now);
[[nodiscard]] std::string encode_results(const std::vector<change_result>& results);
[[nodiscard]] std::optional<std::vector<change_result>> decode_results(const std::string& bytes);
/// @}

enum class collector_outcome : std::uint8_t
{
    /// The collector processed the changes and returned their results.
    collected,
    /// The collector cannot reach the store directly and accepted no change.
    store_unreachable,
    /// No reply, or one that cannot be decoded: the changes may or may not have been written.
    no_reply,
};

/// A collector's reply to one message.
struct collector_reply
{
    collector_outcome outcome = collector_outcome::no_reply;
    /// Encoded results; empty unless the outcome is `collected`.
    std::string results;
    /// How long the collector has been unable to reach the store.
    milliseconds unreachable_for{};
};

using collector_callback = std::function<void(const collector_reply&)>;
/// Sends encoded changes to a collector.
using collector_call = std::function<void(const std::string& address, std::string bytes, collector_callback)>;

class commit_router final : public commit_sink
{
  public:
    /// @param local_commits writes the changes that this gateway collects, and those for which collectors do
    /// not respond
    commit_router(commit_sink& local_commits, const row_store& store, peer_directory& peers,
                  collector_call call, delay_function delay, clock_function clock);

    void submit(const std::string& partition, row_change change, change_callback on_result) override;
    [[nodiscard]] std::size_t pending() const override;

    /// Writes changes forwarded by another gateway. The reply is sent within a fixed time regardless of the
    /// store: results that are not available by then are reported as unknown, and the sender resends those
    /// changes. Otherwise a slow store would look like an unresponsive collector, the senders would all write
    /// directly, and their load would keep the store slow.
    /// @param on_done receives the results; `no_reply` if the message is empty or cannot be decoded
    void collect(const std::string& bytes, collector_callback on_done);

  private:
    struct item
    {
        routed_change change;
        change_callback on_result;
        /// Number of collectors that did not respond to it.
        int unanswered_sends = 0;
        /// Number of collectors that could not reach the store since the change was last deferred.
        int refusals = 0;
    };
    using item_list = std::vector<item>;
    struct outbox
    {
        item_list waiting;
        int in_flight = 0;
    };

    /// Sends changes to their collectors, batched by collector, and writes those that this gateway collects.
    void route(item_list items);
    /// Puts a change into its collector's outbox, submits it to the local queue, or defers it.
    /// @return the collector, if the change was put into an outbox
    std::optional<std::string> dispatch(item it);
    void send(const std::string& collector);
    /// Takes as many of the changes that wait as one message may carry.
    [[nodiscard]] static item_list take_message(item_list& waiting);
    /// Keeps a change until the next scheduled retry.
    void defer(item it);
    void schedule_retry();
    void retry_deferred();
    /// Routes changes whose collector cannot reach the store to the next one in rank, or defers them once
    /// several collectors in a row could not reach it.
    void route_refused(item_list refused);
    /// Routes the changes waiting in a failed collector's outbox again.
    void reroute(const std::string& collector);
    void on_reply(const std::string& collector, item_list sent, const collector_reply& reply);
    void on_results(item_list sent, const std::vector<change_result>& results);
    /// Handles a collector that did not process the changes; @a reply gives the reason.
    void on_failure(const std::string& collector, item_list sent, const collector_reply& reply);
    void resend_later(item it);

    commit_sink& m_local_commits;
    const row_store& m_store;
    peer_directory& m_peers;
    collector_call m_call;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<std::string, outbox> m_outboxes;
    /// Changes waiting for the next retry, in order of arrival.
    item_list m_deferred;
    bool m_retry_scheduled = false;
    /// Delay before deferred changes are retried; grows with each unsuccessful retry.
    milliseconds m_retry_delay{};
    bool m_was_unreachable = false;
    std::size_t m_forwarded = 0;
};

} // namespace masticcourse::gateway

/// @file
/// Sends commits to the gateway that collects their partition's, so that the store sees one writer a
/// partition instead of one a gateway.
///
/// Load pattern: tens of gateways that end hundreds of turns a second. Each by itself, hardly two changes
/// ever share a transaction, and their number fills the store's partitions and its rate. Through collectors
/// the same changes take a fraction of it.
///
/// The same holds while collectors fail: what one did not write goes to the next in rank, so that the number
/// of writers a partition does not grow with the number of gateways that lost their collector. Only a change
/// that several collectors left without an answer is written by its own gateway. A change that several
/// collectors in a row refused waits a moment: probably the store is away for all, and asking on would cost
/// messages that grow with the square of the gateways.
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

/// A change and where it goes.
struct routed_change
{
    std::string partition;
    row_change change;
};

/// @name On the wire between gateways
/// @{

/// @param now what the changes' expiry is told relative to
[[nodiscard]] std::string encode_changes(const std::vector<routed_change>& changes, time_point now);
/// @return nothing if @a bytes are no such message
[[nodiscard]] std::optional<std::vector<routed_change>> decode_changes(const std::string& bytes,
                                                                       time_point now);
[[nodiscard]] std::string encode_results(const std::vector<change_result>& results);
[[nodiscard]] std::optional<std::vector<change_result>> decode_results(const std::string& bytes);
/// @}

enum class collector_outcome : std::uint8_t
{
    /// The changes were taken; their results are known.
    collected,
    /// The collector can't reach the store itself: it took nothing.
    store_unreachable,
    /// No answer, or none that can be read: what was done is not known.
    no_answer,
};

/// What a collector says to one message.
struct collector_answer
{
    collector_outcome outcome = collector_outcome::no_answer;
    /// Encoded results; empty unless collected.
    std::string results;
    /// How long the collector has lacked the store.
    milliseconds unreachable_for{};
};

using collector_callback = std::function<void(const collector_answer&)>;
/// Sends encoded changes to a collector.
using collector_call = std::function<void(const std::string& address, std::string bytes, collector_callback)>;

class commit_router final : public commit_sink
{
  public:
    /// @param own writes what this gateway collects, and what a collector does not answer for
    commit_router(commit_sink& own, const row_store& store, peer_directory& peers, collector_call call,
                  delay_function delay, clock_function clock);

    void submit(const std::string& partition, row_change change, change_callback on_result) override;
    [[nodiscard]] std::size_t pending() const override;

    /// Writes what another gateway sent. The results come soon whatever the store does: what is not known by
    /// then is told as unknown, and its sender sends it again. So a slow store never looks like a silent
    /// collector; senders that took it for one and all wrote by themselves would keep the store slow.
    /// @param on_done takes the results; `no_answer` if the message can't be read or is empty
    void collect(const std::string& bytes, collector_callback on_done);

  private:
    struct item
    {
        routed_change change;
        change_callback on_result;
        /// Collectors that it was sent to and that did not answer.
        int unanswered_sends = 0;
        /// Collectors that lacked the store, since it was last held.
        int refusals = 0;
    };
    using item_list = std::vector<item>;
    struct outbox
    {
        item_list waiting;
        int in_flight = 0;
    };

    /// Sends changes to their collectors, those of one collector together, and writes what is this gateway's.
    void route(item_list items);
    /// Puts a change into its collector's outbox, writes it, or holds it.
    /// @return the collector, if it is in an outbox now
    std::optional<std::string> dispatch(item it);
    void send(const std::string& collector);
    /// Keeps a change until it may be tried again.
    void defer(item it);
    void schedule_retry();
    void retry_deferred();
    /// A collector lacks the store: its changes go to the next in rank, or wait if several lack it.
    void route_refused(item_list refused);
    /// Finds another way for what waits for a collector that does not answer.
    void reroute(const std::string& collector);
    void on_answer(const std::string& collector, item_list sent, const collector_answer& answer);
    void on_results(item_list sent, const std::vector<change_result>& results);
    /// The collector did not do its work; @a answer says why.
    void on_failure(const std::string& collector, item_list sent, const collector_answer& answer);
    void resend_later(item it);

    commit_sink& m_own;
    const row_store& m_store;
    peer_directory& m_peers;
    collector_call m_call;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<std::string, outbox> m_outboxes;
    /// What waits until it may be tried again; in the order in which it came.
    item_list m_deferred;
    bool m_retry_scheduled = false;
    /// Until what is held is tried again; longer with each time that it was in vain.
    milliseconds m_retry_delay{};
    bool m_was_unreachable = false;
    std::size_t m_forwarded = 0;
};

} // namespace masticcourse::gateway

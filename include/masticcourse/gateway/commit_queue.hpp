/// @file
/// Group commit to the store's partitions: few transactions under way for each partition, what comes
/// meanwhile goes with the next one.
///
/// Load pattern: hundreds of small writes a second from many gateways against a store that limits calls, not
/// bytes. A partition takes one transaction at a time, however many turns end; so many changes share one.
#pragma once

#include "masticcourse/gateway/row_memory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// What is applied together: at most one condition, and what to write if it holds. A change without condition
/// must be one that may be written twice.
struct row_change
{
    std::optional<row_condition> condition;
    std::vector<row_put> puts;
    /// Given up if it is not known to be done by then.
    time_point expires;
};

struct change_result
{
    /// `done`, `conflict`, or `unknown` if it was given up.
    store_outcome outcome = store_outcome::unknown;
    row_version version = 0;
    /// After a conflict: the row of the condition, unless it does not exist.
    std::optional<stored_row> current;
};

using change_callback = std::function<void(const change_result&)>;
/// Calls back after a delay.
using delay_function = std::function<void(milliseconds, std::function<void()>)>;
using clock_function = std::function<time_point()>;

/// Where changes go to be written.
class commit_sink
{
  public:
    commit_sink() = default;
    commit_sink(const commit_sink&) = delete;
    commit_sink(commit_sink&&) = delete;
    commit_sink& operator=(const commit_sink&) = delete;
    commit_sink& operator=(commit_sink&&) = delete;
    virtual ~commit_sink() = default;

    /// Queues a change; its callback is called once.
    virtual void submit(const std::string& partition, row_change change, change_callback on_result) = 0;

    /// @return changes whose result is not known yet
    [[nodiscard]] virtual std::size_t pending() const = 0;
};

/// Writes by itself.
class commit_queue final : public commit_sink
{
  public:
    /// @param memory_bytes for rows as they were last written or read: versions only grow, so a condition on
    /// an older one is known to fail, and other gateways read from it
    commit_queue(row_store& store, delay_function delay, clock_function clock,
                 std::size_t cache_bytes = default_cache_bytes);

    void submit(const std::string& partition, row_change change, change_callback on_result) override;

    [[nodiscard]] std::size_t pending() const override
    {
        return m_pending;
    }

    [[nodiscard]] const row_cache& cached_rows() const
    {
        return m_cached_rows;
    }

  private:
    /// Those of a few thousand programs, some hundred bytes each.
    static constexpr std::size_t default_cache_bytes = 2'000'000;

    struct item
    {
        row_change change;
        change_callback on_result;
    };
    using item_list = std::deque<item>;
    struct partition_queue
    {
        item_list waiting;
        /// Transactions under way, and pauses after a failure.
        int occupied_slots = 0;
        /// Failures in a row, for the pause before the next try.
        std::uint32_t failures = 0;
        /// Rows that transactions under way write. A change of one of them waits: its condition would fail,
        /// and with it the whole transaction that it is in.
        std::set<row_name> being_written;
    };

    void send_next_batch(const std::string& partition);
    [[nodiscard]] static item_list take_batch(partition_queue& queue);
    void fail_expired(partition_queue& queue);
    /// Tells changes whose condition is known to fail at once, without a transaction.
    void reject_stale(partition_queue& queue);
    void cache_rows(const item_list& written, row_version version);
    void on_reply(const std::string& partition, item_list batch, const transaction_reply& reply);
    void resolve_conflicts(item_list& batch, const transaction_reply& reply);
    void requeue(partition_queue& queue, item_list batch);
    void retry_later(const std::string& partition, partition_queue& queue);
    void resolve(item& it, const change_result& result);

    row_store& m_store;
    delay_function m_delay;
    clock_function m_clock;
    std::unordered_map<std::string, partition_queue> m_queues;
    row_cache m_cached_rows;
    std::size_t m_pending = 0;
    std::minstd_rand m_random{std::random_device{}()};
};

} // namespace masticcourse::gateway

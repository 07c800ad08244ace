/// @file
/// Group commit: limits the transactions in flight per store partition and batches changes that arrive
/// meanwhile into the next transaction.
///
/// Load pattern: many gateways issue hundreds of small writes per second to a store that limits calls rather
/// than bytes. A partition processes one transaction at a time regardless of how many turns end, so changes
/// share transactions.
#pragma once

#include "masticcourse/gateway/random.hpp"
#include "masticcourse/gateway/row_cache.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticcourse::gateway
{

/// Rows that are written atomically if the optional condition holds. A change without a condition must be
/// idempotent, because it may be written twice.
struct row_change
{
    std::optional<row_condition> condition;
    std::vector<row_put> puts;
    /// The change fails with `unknown` if it is not confirmed by then.
    time_point expires;
};

/// @return the bytes of all values that the change writes
[[nodiscard]] std::size_t value_bytes(const row_change& change);

/// Where a row was read.
enum class row_source : std::uint8_t
{
    /// A gateway's cache: others may have written the row since, any time ago.
    cache,
    /// The store, after the call that returned the row had begun.
    store,
};

[[nodiscard]] std::string_view to_string(row_source source);

struct change_result
{
    /// `done`, `conflict`, `refused` if the store never takes the change, or `unknown` if it expired.
    store_outcome outcome = store_outcome::unknown;
    row_version version = 0;
    /// After a conflict: the current row that the condition names, if it exists.
    std::optional<stored_row> current;
    /// Where `current` was read, or found absent.
    row_source current_source = row_source::cache;
};

using change_callback = std::function<void(const change_result&)>;
/// Invokes a callback after a delay.
using delay_function = std::function<void(milliseconds, std::function<void()>)>;
using clock_function = std::function<time_point()>;

/// Accepts changes for writing to the store.
class commit_sink
{
  public:
    commit_sink() = default;
    commit_sink(const commit_sink&) = delete;
    commit_sink(commit_sink&&) = delete;
    commit_sink& operator=(const commit_sink&) = delete;
    commit_sink& operator=(commit_sink&&) = delete;
    virtual ~commit_sink() = default;

    /// Queues a change. @a on_result is called exactly once.
    virtual void submit(const std::string& partition, row_change change, change_callback on_result) = 0;

    /// @return the number of changes whose result is still outstanding
    [[nodiscard]] virtual std::size_t pending() const = 0;
};

/// Writes changes directly to the store.
class commit_queue final : public commit_sink
{
  public:
    /// @param cache_bytes capacity of the cache of rows as last written or read. Versions only increase, so a
    /// condition on a version older than the cached one is known to fail. Other gateways read from this
    /// cache.
    commit_queue(row_store& store, delay_function delay, clock_function clock, random_seed seed,
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

    /// Limits the cache of rows, in bytes.
    void set_cache_capacity(std::size_t bytes)
    {
        m_cached_rows.set_capacity(bytes);
    }

  private:
    /// Enough for the rows of a few thousand programs at a few hundred bytes each.
    static constexpr std::size_t default_cache_bytes = 2'000'000;

    struct item
    {
        row_change change;
        change_callback on_result;
        /// Shares no transaction with others, because one that it was part of has been rejected.
        bool alone = false;
    };
    using item_list = std::deque<item>;
    struct partition_queue
    {
        item_list waiting;
        /// Transactions in flight, plus back-off delays after a failure.
        int occupied_slots = 0;
        /// Consecutive failures; determines the back-off.
        std::uint32_t failures = 0;
        /// Rows written by transactions in flight. A change to one of these rows waits, because its condition
        /// would fail and abort the whole transaction that contains it.
        std::set<row_name> being_written;
    };

    void send_next_batch(const std::string& partition);
    [[nodiscard]] static item_list take_batch(partition_queue& queue);
    void fail_expired(partition_queue& queue);
    /// Reports a conflict, without a transaction, for changes whose condition is known to fail.
    void reject_stale(partition_queue& queue);
    void cache_rows(const item_list& written, row_version version);
    /// Fails a change that the store never takes; of several, one at a time, as any of them may be at fault.
    void on_rejected(partition_queue& queue, item_list batch);
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
    std::minstd_rand m_random;
};

} // namespace masticcourse::gateway

/// @file
/// A table service in virtual time whose calls are counted and whose rates are limited as a platform states
/// them.
#pragma once

#include "support/memory_rows.hpp"
#include "support/virtual_time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace masticcourse::testing
{

/// Calls per second that a store accepts; calls beyond that are refused.
struct store_rates
{
    std::size_t reads = 16'000;
    std::size_t writes = 3'200;
    /// Transactions per second of one partition, one after another. They wait for a second at most.
    std::size_t partition_writes = 150;
};

struct store_usage
{
    std::size_t reads = 0;
    std::size_t writes = 0;
    /// Calls beyond the rates.
    std::size_t refused = 0;
    /// Rows in the replies to reads.
    std::size_t rows = 0;

    friend store_usage operator-(const store_usage& a, const store_usage& b)
    {
        return {a.reads - b.reads, a.writes - b.writes, a.refused - b.refused, a.rows - b.rows};
    }
};

/// A table service with rate limits and a change feed that waits, shared by all gateways.
class rated_store
{
  public:
    /// Time from a call to its reply, beyond the time that a transaction takes.
    static constexpr gateway::milliseconds latency{4};

    explicit rated_store(virtual_time& time) : m_time(time) {}

    void transact(const gateway::row_transaction& transaction, gateway::transaction_callback on_reply);
    void query(const gateway::row_query& query, gateway::query_callback on_reply);
    void list_partitions(const std::string& table, gateway::partitions_callback on_reply);
    void follow(const std::string& table, gateway::row_version version, gateway::milliseconds wait,
                gateway::feed_callback on_reply);

    /// Writes as the operator or a target does: not counted and not limited.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    store_rates rates;
    store_usage usage;

  private:
    struct waiting_feed
    {
        std::string table;
        gateway::row_version version = 0;
        gateway::feed_callback on_reply;
        /// Destroyed with the entry, so that its timer knows whether it still waits.
        std::shared_ptr<bool> waits = std::make_shared<bool>(true);
    };

    /// @return whether the call is within the rate
    bool count(std::size_t& counter, std::map<std::int64_t, std::size_t>& by_second, std::size_t rate);
    bool count_read()
    {
        return count(usage.reads, m_reads, rates.reads);
    }
    void wake_feeds(const std::string& table);
    [[nodiscard]] gateway::feed_reply changes(const std::string& table, gateway::row_version version);

    virtual_time& m_time;
    row_table m_rows;
    std::map<std::int64_t, std::size_t> m_reads;
    std::map<std::int64_t, std::size_t> m_writes;
    /// When a partition has executed the transactions that wait for it.
    std::map<std::string, gateway::time_point> m_partition_free_at;
    std::list<waiting_feed> m_feeds;
};

} // namespace masticcourse::testing

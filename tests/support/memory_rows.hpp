/// @file
/// In-memory table service with versions, conditions, a change feed and fault injection.
#pragma once

#include "masticcourse/gateway/commit_queue.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace masticcourse::testing
{

/// The behaviour of the store for new calls.
enum class store_mode
{
    available,
    /// Calls are refused and not executed.
    refusing,
    /// Calls are neither answered nor executed.
    unresponsive,
    /// Transactions are executed, but their answers are lost.
    answers_lost,
    /// Transactions are executed after `memory_store::late_by`, without an answer.
    answers_late,
};

/// The rows of the store; shared by several gateways.
class row_table
{
  public:
    [[nodiscard]] gateway::transaction_reply apply(const gateway::row_transaction& transaction);
    [[nodiscard]] gateway::query_reply read(const gateway::row_query& query) const;
    /// @return the changes of @a table after @a version, in order
    [[nodiscard]] std::vector<gateway::stored_row> changes(const std::string& table,
                                                           gateway::row_version version) const;
    [[nodiscard]] std::vector<std::string> partitions(const std::string& table) const;
    void remove(const std::string& table, const std::string& key);
    [[nodiscard]] gateway::row_version version() const
    {
        return m_version;
    }
    [[nodiscard]] std::size_t transactions() const
    {
        return m_transactions;
    }
    /// @return the rows of all replies to queries
    [[nodiscard]] std::size_t rows_read() const
    {
        return m_rows_read;
    }

  private:
    struct row_location
    {
        std::string partition;
        gateway::row_name name;
        friend auto operator<=>(const row_location&, const row_location&) = default;
    };

    std::map<row_location, gateway::stored_row> m_rows;
    std::vector<gateway::stored_row> m_log;
    gateway::row_version m_version = 0;
    std::size_t m_transactions = 0;
    mutable std::size_t m_rows_read = 0;
};

/// The store client of one gateway, in virtual time.
class memory_store final : public gateway::row_store
{
  public:
    memory_store(row_table& rows, gateway::delay_function delay);

    void transact(const gateway::row_transaction& transaction,
                  gateway::transaction_callback on_reply) override;
    void query(const gateway::row_query& query, gateway::query_callback on_reply) override;
    void list_partitions(const std::string& table, gateway::partitions_callback on_reply) override;
    void check_path() override {}
    void follow(const std::string& table, gateway::row_version version, gateway::milliseconds wait,
                gateway::feed_callback on_reply) override;
    [[nodiscard]] bool reachable() const override;
    [[nodiscard]] std::optional<gateway::duration> direct_path_down_for() const override;
    [[nodiscard]] gateway::duration time_since_failure() const override;

    store_mode mode = store_mode::available;
    /// Time from a call to its answer.
    gateway::milliseconds latency{10};
    /// Time after which an unanswered call fails.
    gateway::milliseconds timeout{100};
    /// Transactions with more bytes of values are rejected for good.
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    /// When a late transaction is executed.
    gateway::milliseconds late_by{2'000};
    bool reported_reachable = true;
    /// Set while calls go through peers.
    std::optional<gateway::duration> direct_path_down;
    gateway::duration since_failure = gateway::seconds{100};
    /// Queries are answered within the call, as from a cache.
    bool answers_at_once = false;
    /// Queries are answered from the rows of the moment in which they are made, not of their answer.
    bool read_at_once = false;
    std::size_t queries = 0;
    /// Queries that waited for their answers at a time, at most.
    std::size_t most_outstanding = 0;
    std::size_t writes = 0;

  private:
    row_table& m_rows;
    gateway::delay_function m_delay;
    std::size_t m_outstanding = 0;
};

} // namespace masticcourse::testing

/// @file
/// Reads rows from the cache of their partition's collector before querying the store. The collector is the
/// gateway that writes all commits of a partition, so it usually has the recently written rows.
///
/// Load pattern: the turns of one program arrive at different gateways, because callers move or retry
/// elsewhere. Without this cache each gateway would query the store for rows that a peer has cached. During a
/// store outage, a gateway that has not served the program before could determine neither its conversation
/// history nor its remaining budget and would have to refuse its turns; callers that retry always reach such
/// gateways.
#pragma once

#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_cache.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// @name Wire format between gateways
/// @{
[[nodiscard]] std::string encode_query(const row_query& query);
/// @return nothing if @a bytes cannot be decoded
[[nodiscard]] std::optional<row_query> decode_query(const std::string& bytes);
[[nodiscard]] std::string encode_rows(const std::vector<stored_row>& rows);
[[nodiscard]] std::optional<std::vector<stored_row>> decode_rows(const std::string& bytes);
/// @}

class collected_rows final : public row_store
{
  public:
    /// @param local_cache rows of the partitions that this gateway collects
    /// @param call        sends an encoded query to a collector, which replies with encoded rows
    collected_rows(row_store& store, const row_cache& local_cache, peer_directory& peers, peer_call call,
                   std::function<time_point()> clock);

    void transact(const row_transaction& transaction, transaction_callback on_reply) override;
    /// If the query accepts cached rows, replies from the collector's cache, provided that the row at the
    /// start of the range is cached. Otherwise queries the store.
    void query(const row_query& query, query_callback on_reply) override;
    void list_partitions(const std::string& table, partitions_callback on_reply) override;
    void check_path() override;
    void follow(const std::string& table, row_version version, milliseconds wait,
                feed_callback on_reply) override;
    [[nodiscard]] bool reachable() const override;
    [[nodiscard]] std::optional<duration> direct_path_down_for() const override;
    [[nodiscard]] duration time_since_failure() const override;

    /// Handles a peer's encoded query from the local cache only.
    /// @return the encoded rows, an empty list if none is cached; nothing if the query cannot be decoded
    [[nodiscard]] std::optional<std::string> read_cached(const std::string& bytes) const;

  private:
    [[nodiscard]] std::vector<stored_row> find_cached(const row_query& query) const;
    /// Replies with @a rows, or queries the store if the first row of the range is not among them.
    void reply_or_query_store(const row_query& query, std::vector<stored_row> rows, query_callback on_reply);

    row_store& m_store;
    const row_cache& m_local_cache;
    peer_directory& m_peers;
    peer_call m_call;
    std::function<time_point()> m_clock;
};

} // namespace masticcourse::gateway

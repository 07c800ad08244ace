/// @file
/// Reads rows from the gateway that collects their partition's commits before it asks the store: it has
/// written them lately, and remembers them.
///
/// Load pattern: programs whose turns come through one gateway after the other, as callers move or try again
/// elsewhere: the store would be asked for what a peer knows. And while the store is away for all, a gateway
/// that has not seen a program before could not tell what it goes on from or may spend, and had to refuse
/// each of its turns; callers who try again always meet such gateways.
#pragma once

#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/row_memory.hpp"
#include "masticcourse/gateway/row_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace masticcourse::gateway
{

/// @name On the wire between gateways
/// @{
[[nodiscard]] std::string encode_query(const row_query& query);
/// @return nothing if @a bytes are no such message
[[nodiscard]] std::optional<row_query> decode_query(const std::string& bytes);
[[nodiscard]] std::string encode_rows(const std::vector<stored_row>& rows);
[[nodiscard]] std::optional<std::vector<stored_row>> decode_rows(const std::string& bytes);
/// @}

class collected_rows final : public row_store
{
  public:
    /// @param own  what this gateway remembers of the partitions that it collects
    /// @param call asks a collector for the rows of an encoded query
    collected_rows(row_store& store, const row_cache& local_cache, peer_directory& peers, peer_call call,
                   std::function<time_point()> clock);

    void transact(const row_transaction& transaction, transaction_callback on_reply) override;
    /// A query that may be answered from memory is answered from it if the row at the beginning of its range
    /// is remembered.
    void query(const row_query& query, query_callback on_reply) override;
    void follow(const std::string& table, row_version version, milliseconds wait,
                feed_callback on_reply) override;
    [[nodiscard]] bool reachable() const override;
    [[nodiscard]] std::optional<duration> direct_path_down_for() const override;
    [[nodiscard]] duration time_since_failure() const override;

    /// Answers a peer's query from the own memory.
    /// @return encoded rows, none if none is remembered; nothing if the message can't be read
    [[nodiscard]] std::optional<std::string> read_cached(const std::string& bytes) const;

  private:
    [[nodiscard]] std::vector<stored_row> find_cached(const row_query& query) const;
    /// Hands out @a rows, or asks the store if the first of the range is not among them.
    void reply_or_query_store(const row_query& query, std::vector<stored_row> rows, query_callback on_reply);

    row_store& m_store;
    const row_cache& m_local_cache;
    peer_directory& m_peers;
    peer_call m_call;
    std::function<time_point()> m_clock;
};

} // namespace masticcourse::gateway

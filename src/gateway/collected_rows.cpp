#include "masticcourse/gateway/collected_rows.hpp"

#include <utility>

namespace masticcourse::gateway
{

collected_rows::collected_rows(row_store& store, const row_cache& local_cache, peer_directory& peers,
                               peer_call call, std::function<time_point()> clock)
    : m_store(store), m_local_cache(local_cache), m_peers(peers), m_call(std::move(call)),
      m_clock(std::move(clock))
{
}

void collected_rows::transact(const row_transaction& transaction, transaction_callback on_reply)
{
    m_store.transact(transaction, std::move(on_reply));
}

void collected_rows::query(const row_query& query, query_callback on_reply)
{
    if (!query.allow_cached)
    {
        m_store.query(query, std::move(on_reply));
        return;
    }
    // While the store is unreachable, no rows are newer than those cached by the last collector.
    const auto now = m_clock();
    const auto collector = m_store.reachable() ? m_peers.collector_of(query.partition, now)
                                               : m_peers.collector_ignoring_store(query.partition, now);
    if (!collector)
    {
        reply_or_query_store(query, find_cached(query), std::move(on_reply));
        return;
    }
    m_call(*collector, encode_query(query),
           [this, query, on_reply = std::move(on_reply)](const std::optional<std::string>& bytes) mutable
           {
               // A missing reply does not exclude the collector: the store is queried instead, and a gateway
               // that is too slow for this read may still write commits in time.
               auto rows = bytes ? decode_rows(*bytes) : std::nullopt;
               reply_or_query_store(query, std::move(rows).value_or(std::vector<stored_row>{}),
                                    std::move(on_reply));
           });
}

void collected_rows::reply_or_query_store(const row_query& query, std::vector<stored_row> rows,
                                          query_callback on_reply)
{
    // Other rows in the range do not imply that the first one is cached: its key may merely be a prefix of
    // theirs.
    if (rows.empty() || rows.front().name.key != query.from)
    {
        m_store.query(query, std::move(on_reply));
        return;
    }
    on_reply({.answered = true, .rows = std::move(rows), .from_cache = true});
}

void collected_rows::list_partitions(const std::string& table, partitions_callback on_reply)
{
    m_store.list_partitions(table, std::move(on_reply));
}

void collected_rows::check_path()
{
    m_store.check_path();
}

void collected_rows::follow(const std::string& table, row_version version, milliseconds wait,
                            feed_callback on_reply)
{
    m_store.follow(table, version, wait, std::move(on_reply));
}

bool collected_rows::reachable() const
{
    return m_store.reachable();
}

std::optional<duration> collected_rows::direct_path_down_for() const
{
    return m_store.direct_path_down_for();
}

duration collected_rows::time_since_failure() const
{
    return m_store.time_since_failure();
}

std::vector<stored_row> collected_rows::find_cached(const row_query& query) const
{
    return m_local_cache.range(query.table, query.from, query.to);
}

std::optional<std::string> collected_rows::read_cached(const std::string& bytes) const
{
    const auto query = decode_query(bytes);
    return query ? std::optional{encode_rows(find_cached(*query))} : std::nullopt;
}

} // namespace masticcourse::gateway

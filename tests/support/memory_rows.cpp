#include "support/memory_rows.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace masticcourse::testing
{

using gateway::store_outcome;

namespace
{

bool answers_queries(store_mode mode)
{
    return mode == store_mode::available || mode == store_mode::answers_lost ||
           mode == store_mode::answers_late;
}

} // namespace

gateway::transaction_reply row_table::apply(const gateway::row_transaction& transaction)
{
    ++m_transactions;
    gateway::transaction_reply reply{.outcome = store_outcome::done};
    for (const auto& it : transaction.conditions)
    {
        const auto row = m_rows.find({transaction.partition, it.name});
        const auto version = row != m_rows.end() ? row->second.version : 0;
        reply.outcome = version == it.version ? reply.outcome : store_outcome::conflict;
        if (row != m_rows.end())
        {
            reply.current.push_back(row->second);
        }
    }
    if (reply.outcome != store_outcome::done)
    {
        return reply;
    }
    reply.current.clear();
    reply.version = ++m_version;
    for (const auto& it : transaction.puts)
    {
        const gateway::stored_row row{.name = it.name, .value = it.value, .version = m_version};
        m_rows[{transaction.partition, it.name}] = row;
        m_log.push_back(row);
    }
    return reply;
}

gateway::query_reply row_table::read(const gateway::row_query& query) const
{
    gateway::query_reply reply{.answered = true, .version = m_version};
    for (const auto& [location, row] : m_rows)
    {
        const bool matches = location.partition == query.partition && location.name.table == query.table &&
                             location.name.key >= query.from &&
                             (query.to.empty() || location.name.key < query.to);
        const bool enough = query.limit > 0 && reply.rows.size() >= query.limit;
        if (matches && !enough)
        {
            reply.rows.push_back(row);
        }
    }
    m_rows_read += reply.rows.size();
    return reply;
}

std::vector<gateway::stored_row> row_table::changes(const std::string& table,
                                                    gateway::row_version version) const
{
    std::vector<gateway::stored_row> found;
    const auto first = std::ranges::upper_bound(m_log, version, {}, &gateway::stored_row::version);
    std::copy_if(first, m_log.end(), std::back_inserter(found),
                 [&](const auto& it) { return it.name.table == table; });
    return found;
}

std::vector<std::string> row_table::partitions(const std::string& table) const
{
    std::vector<std::string> found;
    for (const auto& [location, row] : m_rows)
    {
        if (location.name.table == table && (found.empty() || found.back() != location.partition))
        {
            found.push_back(location.partition);
        }
    }
    return found;
}

void row_table::remove(const std::string& table, const std::string& key)
{
    m_rows.erase({"", {table, key}});
    m_log.push_back({.name = {table, key}, .version = ++m_version, .removed = true});
}

memory_store::memory_store(row_table& rows, gateway::delay_function delay)
    : m_rows(rows), m_delay(std::move(delay))
{
}

void memory_store::transact(const gateway::row_transaction& transaction,
                            gateway::transaction_callback on_reply)
{
    ++writes;
    const auto bytes = std::accumulate(transaction.puts.begin(), transaction.puts.end(), std::size_t{0},
                                       [](std::size_t sum, const auto& it) { return sum + it.value.size(); });
    if (mode == store_mode::available && bytes > max_bytes)
    {
        m_delay(latency, [on_reply] { on_reply({.outcome = store_outcome::rejected}); });
        return;
    }
    switch (mode)
    {
    case store_mode::available:
        // Applied after half of the latency, as by a real store.
        m_delay(latency / 2,
                [this, transaction, on_reply]
                {
                    const auto reply = m_rows.apply(transaction);
                    m_delay(latency / 2, [reply, on_reply] { on_reply(reply); });
                });
        return;
    case store_mode::refusing:
        m_delay(latency, [on_reply] { on_reply({.outcome = store_outcome::refused}); });
        return;
    case store_mode::answers_lost:
        std::ignore = m_rows.apply(transaction);
        m_delay(timeout, [on_reply] { on_reply({.outcome = store_outcome::unknown}); });
        return;
    case store_mode::answers_late:
        m_delay(late_by, [this, transaction] { std::ignore = m_rows.apply(transaction); });
        [[fallthrough]];
    case store_mode::unresponsive:
        m_delay(timeout, [on_reply] { on_reply({.outcome = store_outcome::unknown}); });
        return;
    }
}

void memory_store::query(const gateway::row_query& query, gateway::query_callback on_reply)
{
    ++queries;
    const bool answered = answers_queries(mode);
    if (answers_at_once)
    {
        on_reply(m_rows.read(query));
        return;
    }
    const auto early = read_at_once ? std::optional{m_rows.read(query)} : std::nullopt;
    most_outstanding = std::max(most_outstanding, ++m_outstanding);
    m_delay(latency,
            [this, answered, early, query, on_reply]
            {
                --m_outstanding;
                const gateway::query_reply none{.answered = false};
                on_reply(!answered ? none : early ? *early : m_rows.read(query));
            });
}

void memory_store::list_partitions(const std::string& table, gateway::partitions_callback on_reply)
{
    const bool answered = answers_queries(mode);
    m_delay(latency,
            [this, answered, table, on_reply]
            {
                on_reply(answered ? gateway::partitions_reply{.answered = true,
                                                              .partitions = m_rows.partitions(table),
                                                              .version = m_rows.version()}
                                  : gateway::partitions_reply{});
            });
}

void memory_store::follow(const std::string& table, gateway::row_version version, gateway::milliseconds wait,
                          gateway::feed_callback on_reply)
{
    m_delay(wait / 100,
            [this, table, version, on_reply]
            {
                if (mode != store_mode::available)
                {
                    on_reply({.outcome = gateway::feed_outcome::failed});
                    return;
                }
                on_reply({.outcome = gateway::feed_outcome::changed,
                          .rows = m_rows.changes(table, version),
                          .version = m_rows.version()});
            });
}

bool memory_store::reachable() const
{
    return reported_reachable;
}

std::optional<gateway::duration> memory_store::direct_path_down_for() const
{
    return reported_reachable ? direct_path_down : direct_path_down.value_or(gateway::duration{});
}

gateway::duration memory_store::time_since_failure() const
{
    return since_failure;
}

} // namespace masticcourse::testing

#include "support/rated_store.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse::testing
{

using gateway::milliseconds;
using gateway::time_point;

namespace
{

constexpr milliseconds transaction_time{8};

std::int64_t second_of(time_point at)
{
    return std::chrono::floor<gateway::seconds>(at.time_since_epoch()).count();
}

} // namespace

bool rated_store::count(std::size_t& counter, std::map<std::int64_t, std::size_t>& by_second,
                        std::size_t rate)
{
    ++counter;
    const bool within = ++by_second[second_of(m_time.now())] <= rate;
    usage.refused += within ? 0 : 1;
    return within;
}

void rated_store::transact(const gateway::row_transaction& transaction,
                           gateway::transaction_callback on_reply)
{
    const auto now = m_time.now();
    auto& free_at = m_partition_free_at[transaction.partition];
    const bool queue_full = free_at > now + gateway::seconds{1};
    if (!count(usage.writes, m_writes, rates.writes) || queue_full)
    {
        usage.refused += queue_full ? 1 : 0;
        m_time.delays()(latency, [on_reply] { on_reply({.outcome = gateway::store_outcome::refused}); });
        return;
    }
    free_at = std::max(free_at, now) + gateway::duration{gateway::seconds{1}} / rates.partition_writes;
    const auto done = std::chrono::ceil<milliseconds>(free_at - now) + transaction_time;
    m_time.delays()(done,
                    [this, transaction, on_reply]
                    {
                        const auto reply = m_rows.apply(transaction);
                        on_reply(reply);
                        wake_feeds(transaction.puts.front().name.table);
                    });
}

void rated_store::query(const gateway::row_query& query, gateway::query_callback on_reply)
{
    const bool accepted = count_read();
    m_time.delays()(latency,
                    [this, accepted, query, on_reply]
                    {
                        auto reply = accepted ? m_rows.read(query) : gateway::query_reply{.answered = false};
                        usage.rows += reply.rows.size();
                        on_reply(std::move(reply));
                    });
}

void rated_store::list_partitions(const std::string& table, gateway::partitions_callback on_reply)
{
    const bool accepted = count_read();
    m_time.delays()(latency,
                    [this, accepted, table, on_reply]
                    {
                        on_reply(accepted ? gateway::partitions_reply{.answered = true,
                                                                      .partitions = m_rows.partitions(table),
                                                                      .version = m_rows.version()}
                                          : gateway::partitions_reply{});
                    });
}

void rated_store::follow(const std::string& table, gateway::row_version version, milliseconds wait,
                         gateway::feed_callback on_reply)
{
    if (!count_read())
    {
        m_time.delays()(latency, [on_reply] { on_reply({}); });
        return;
    }
    if (auto reply = changes(table, version); !reply.rows.empty())
    {
        m_time.delays()(latency, [reply = std::move(reply), on_reply] { on_reply(reply); });
        return;
    }
    const auto feed = m_feeds.insert(m_feeds.end(), {table, version, on_reply});
    const std::weak_ptr<bool> alive = feed->waits;
    m_time.delays()(wait,
                    [this, feed, alive]
                    {
                        if (alive.expired())
                        {
                            return;
                        }
                        const auto expired = std::move(*feed);
                        m_feeds.erase(feed);
                        expired.on_reply(changes(expired.table, expired.version));
                    });
}

gateway::feed_reply rated_store::changes(const std::string& table, gateway::row_version version)
{
    gateway::feed_reply reply{.outcome = gateway::feed_outcome::changed,
                              .rows = m_rows.changes(table, version),
                              .version = m_rows.version()};
    usage.rows += reply.rows.size();
    return reply;
}

void rated_store::wake_feeds(const std::string& table)
{
    std::list<waiting_feed> woken;
    for (auto it = m_feeds.begin(); it != m_feeds.end();)
    {
        const auto next = std::next(it);
        if (it->table == table)
        {
            woken.splice(woken.end(), m_feeds, it);
        }
        it = next;
    }
    for (const auto& it : woken)
    {
        m_time.delays()(latency,
                        [reply = changes(it.table, it.version), on_reply = it.on_reply] { on_reply(reply); });
    }
}

void rated_store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::ignore = m_rows.apply({.puts = {{{table, key}, value}}});
    wake_feeds(table);
}

void rated_store::remove(const std::string& table, const std::string& key)
{
    m_rows.remove(table, key);
    wake_feeds(table);
}

} // namespace masticcourse::testing

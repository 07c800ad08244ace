#include "masticcourse/gateway/table_follower.hpp"

#include <algorithm>
#include <utility>

namespace masticcourse::gateway
{

namespace
{

/// How long one feed call waits for changes. A longer wait lets an unresponsive connection hide changes for
/// longer, a shorter one costs more calls: each gateway follows two tables, which makes two calls a second.
constexpr milliseconds feed_timeout{1'000};
/// Delay before a failed call is retried; also the maximum delay of a change after the store has recovered.
constexpr milliseconds retry_delay{100};

} // namespace

table_follower::table_follower(row_store& store, std::string table, delay_function delay,
                               follower_callbacks callbacks)
    : m_store(store), m_table(std::move(table)), m_delay(std::move(delay)), m_callbacks(std::move(callbacks))
{
}

void table_follower::start()
{
    read();
}

void table_follower::read()
{
    m_store.query({.table = m_table},
                  [this](const query_reply& reply)
                  {
                      if (!reply.answered)
                      {
                          retry_later(&table_follower::read);
                          return;
                      }
                      m_loaded = true;
                      m_version = reply.version;
                      m_callbacks.on_snapshot(reply.rows);
                      follow();
                  });
}

void table_follower::follow()
{
    m_store.follow(m_table, m_version, feed_timeout, [this](const feed_reply& reply) { on_feed(reply); });
}

void table_follower::on_feed(const feed_reply& reply)
{
    switch (reply.outcome)
    {
    case feed_outcome::failed:
        retry_later(&table_follower::follow);
        return;
    case feed_outcome::history_truncated:
        read();
        return;
    case feed_outcome::changed:
        break;
    }
    m_version = std::max(m_version, reply.version);
    std::ranges::for_each(reply.rows, [this](const stored_row& it) { m_callbacks.on_change(it); });
    follow();
}

void table_follower::retry_later(void (table_follower::*step)())
{
    m_delay(retry_delay, [this, step] { (this->*step)(); });
}

} // namespace masticcourse::gateway

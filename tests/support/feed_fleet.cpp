#include "support/feed_fleet.hpp"
#include "support/test_seed.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticcourse::testing
{

using gateway::milliseconds;
using gateway::time_point;

namespace
{

constexpr milliseconds store_latency{4};
constexpr milliseconds transaction_time{8};
/// Time after which a gateway gives up a call that the store does not answer.
constexpr milliseconds call_timeout{500};
constexpr milliseconds message_latency{1};
/// Time after which a gateway gives up a new connection to another one.
constexpr milliseconds connect_timeout{150};
/// Time after which a gateway gives up a call to another one that does not reply.
constexpr milliseconds relay_timeout{1'600};

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
        m_time.delays()(store_latency,
                        [on_reply] { on_reply({.outcome = gateway::store_outcome::refused}); });
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
    m_time.delays()(store_latency,
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
    m_time.delays()(store_latency,
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
        m_time.delays()(store_latency, [on_reply] { on_reply({}); });
        return;
    }
    if (auto reply = changes(table, version); !reply.rows.empty())
    {
        m_time.delays()(store_latency, [reply = std::move(reply), on_reply] { on_reply(reply); });
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
        m_time.delays()(store_latency,
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

/// The store as one gateway reaches it.
class feed_fleet::store_port final : public gateway::row_store
{
  public:
    store_port(feed_fleet& fleet, const bool& stopped) : m_fleet(fleet), m_stopped(stopped) {}

    void transact(const gateway::row_transaction& transaction,
                  gateway::transaction_callback on_reply) override
    {
        if (unreachable())
        {
            fail(call_timeout, [on_reply] { on_reply({.outcome = gateway::store_outcome::refused}); });
            return;
        }
        m_fleet.store.transact(transaction, unless_stopped(std::move(on_reply)));
    }
    void query(const gateway::row_query& query, gateway::query_callback on_reply) override
    {
        if (unreachable())
        {
            fail(call_timeout, [on_reply] { on_reply({.answered = false}); });
            return;
        }
        m_fleet.store.query(query, unless_stopped(std::move(on_reply)));
    }
    void list_partitions(const std::string& table, gateway::partitions_callback on_reply) override
    {
        if (unreachable())
        {
            fail(call_timeout, [on_reply] { on_reply({}); });
            return;
        }
        m_fleet.store.list_partitions(table, unless_stopped(std::move(on_reply)));
    }
    void check_path() override
    {
        ++checks;
    }
    void follow(const std::string& table, gateway::row_version version, milliseconds wait,
                gateway::feed_callback on_reply) override
    {
        if (unreachable())
        {
            fail(call_timeout + wait, [on_reply] { on_reply({}); });
            return;
        }
        m_fleet.store.follow(table, version, wait, unless_stopped(std::move(on_reply)));
    }
    [[nodiscard]] bool reachable() const override
    {
        return m_fleet.m_store_mode == store_mode::available;
    }
    [[nodiscard]] std::optional<gateway::duration> direct_path_down_for() const override
    {
        return reachable() && !turned_away ? std::nullopt : std::optional{gateway::duration{}};
    }
    [[nodiscard]] gateway::duration time_since_failure() const override
    {
        return turned_away ? gateway::duration{} : m_fleet.time.now() - m_last_failure;
    }

    /// Its calls go through peers.
    bool turned_away = false;
    std::size_t checks = 0;

  private:
    [[nodiscard]] bool unreachable()
    {
        if (reachable())
        {
            return false;
        }
        ++m_fleet.store.usage.reads;
        m_last_failure = m_fleet.time.now();
        return true;
    }
    /// @param timeout when a call fails that the store does not answer
    void fail(milliseconds timeout, std::function<void()> reply)
    {
        const bool refusing = m_fleet.m_store_mode == store_mode::refusing;
        m_fleet.time.delays()(refusing ? store_latency : timeout,
                              [this, reply = std::move(reply)]
                              {
                                  if (!m_stopped)
                                  {
                                      reply();
                                  }
                              });
    }
    template <typename Reply>
    [[nodiscard]] std::function<void(Reply)> unless_stopped(std::function<void(Reply)> on_reply)
    {
        return [this, on_reply = std::move(on_reply)](Reply reply)
        {
            if (!m_stopped)
            {
                on_reply(std::move(reply));
            }
        };
    }

    feed_fleet& m_fleet;
    const bool& m_stopped;
    time_point m_last_failure{};
};

class feed_fleet::member
{
  public:
    member(feed_fleet& owner, const std::string& own_address, const std::string& failure_domain)
        : fleet(owner), address(own_address), domain(failure_domain), store(owner, stopped),
          peers({own_address, 1, {failure_domain}}, derive_seed(test_seed(), own_address)),
          feeds{.store = store,
                .peers = peers,
                .relay = [this](const auto& to, const auto& bytes, const auto& on_reply)
                { fleet.relay(*this, to, bytes, on_reply); },
                .delay =
                    [this](milliseconds after, const std::function<void()>& action)
                {
                    fleet.time.delays()(after,
                                        [this, action]
                                        {
                                            if (!stopped)
                                            {
                                                action();
                                            }
                                        });
                },
                .clock = owner.time.clock(),
                .boottime_clock = owner.time.clock()},
          list(feeds, own_address, {own_address, 1, {failure_domain}}),
          config(feeds, {.name = config_table, .min_interval = milliseconds{50}},
                 callbacks_for(config_table)),
          targets(feeds, {.name = target_table, .min_interval = milliseconds{50}},
                  callbacks_for(target_table))
    {
    }

    void start()
    {
        list.start(
            [this]
            {
                config.start();
                targets.start();
            });
    }

    [[nodiscard]] gateway::table_follower& follower_of(const std::string& table)
    {
        if (table == gateway::peer_list::table_name)
        {
            return list.table();
        }
        return table == config_table ? config : targets;
    }

    feed_fleet& fleet;
    std::string address;
    std::string domain;
    bool stopped = false;
    bool silent = false;
    std::size_t served = 0;
    /// Gateways to which this one keeps a connection.
    std::set<std::string> connections;
    store_port store;
    gateway::peer_directory peers;
    gateway::feed_context feeds;
    gateway::peer_list list;
    gateway::table_follower config;
    gateway::table_follower targets;
    /// Rows by table and key, as the followers reported them.
    std::map<std::pair<std::string, std::string>, gateway::stored_row> rows;

  private:
    gateway::follower_callbacks callbacks_for(const std::string& table)
    {
        return {.on_snapshot =
                    [this, table](const std::vector<gateway::stored_row>& snapshot)
                {
                    std::erase_if(rows, [&table](const auto& it) { return it.first.first == table; });
                    for (const auto& it : snapshot)
                    {
                        rows[{table, it.name.key}] = it;
                    }
                },
                .on_change =
                    [this, table](const gateway::stored_row& row)
                {
                    auto& known = rows[{table, row.name.key}];
                    fleet.m_went_back = fleet.m_went_back || row.version < known.version;
                    known = row;
                }};
    }
};

feed_fleet::feed_fleet(std::size_t gateways, std::size_t failure_domains) : store(time)
{
    for (std::size_t n = 0; n < gateways; ++n)
    {
        add("g" + std::to_string(n), "domain " + std::to_string(n % failure_domains));
    }
}

feed_fleet::~feed_fleet() = default;

void feed_fleet::add(const std::string& address, const std::string& failure_domain)
{
    auto& it = m_members[address] = std::make_unique<member>(*this, address, failure_domain);
    constexpr int start_spread_ms = 300;
    time.delays()(milliseconds{std::uniform_int_distribution<int>{0, start_spread_ms}(m_random)},
                  [one = it.get()] { one->start(); });
}

std::vector<feed_fleet::member*> feed_fleet::choose(double share)
{
    std::vector<member*> chosen;
    std::ranges::transform(m_members, std::back_inserter(chosen), [](auto& it) { return it.second.get(); });
    std::ranges::shuffle(chosen, m_random);
    chosen.resize(static_cast<std::size_t>(share * static_cast<double>(chosen.size())));
    return chosen;
}

void feed_fleet::freeze(double share)
{
    std::ranges::for_each(choose(share),
                          [](member* it)
                          {
                              it->silent = true;
                              it->stopped = true;
                          });
}

void feed_fleet::restart(double share, milliseconds downtime)
{
    for (auto* const it : choose(share))
    {
        it->stopped = true;
        const auto address = it->address;
        const auto domain = it->domain;
        m_stopped.push_back(std::move(m_members[address]));
        m_members.erase(address);
        time.delays()(downtime, [this, address, domain] { add(address, domain); });
    }
}

void feed_fleet::set_store_mode(store_mode mode)
{
    m_store_mode = mode;
}

void feed_fleet::turn_away(double share)
{
    std::ranges::for_each(choose(share), [](member* it) { it->store.turned_away = true; });
}

std::size_t feed_fleet::path_checks() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& it) { return it.second->store.checks > 0; }));
}

gateway::duration feed_fleet::shortest_time_since_failure() const
{
    auto shortest = gateway::duration::max();
    for (const auto& [address, it] : m_members)
    {
        if (!it->stopped && !it->store.turned_away)
        {
            shortest = std::min(shortest, it->targets.time_since_failure());
        }
    }
    return shortest;
}

std::size_t feed_fleet::running() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& it) { return !it.second->stopped; }));
}

std::size_t feed_fleet::knowing(const std::string& table, const std::string& key,
                                const std::string& value) const
{
    const auto knows = [&](const auto& it)
    {
        const auto row = it.second->rows.find({table, key});
        return !it.second->stopped && row != it.second->rows.end() && row->second.value == value;
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, knows));
}

std::pair<std::size_t, std::size_t> feed_fleet::list_sizes() const
{
    std::vector<std::size_t> sizes;
    for (const auto& [address, it] : m_members)
    {
        if (!it->stopped)
        {
            sizes.push_back(it->peers.size() + 1);
        }
    }
    const auto [least, most] = std::ranges::minmax(sizes);
    return {most, least};
}

std::size_t feed_fleet::take_most_served()
{
    std::size_t most = 0;
    for (const auto& [address, it] : m_members)
    {
        most = std::max(most, std::exchange(it->served, 0));
    }
    return most;
}

void feed_fleet::relay(member& from, const std::string& to, const std::string& bytes,
                       const gateway::peer_callback& on_reply)
{
    ++messages;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, sender = &from, on_reply](const std::optional<std::string>& text)
    {
        if (!std::exchange(*answered, true) && !sender->stopped)
        {
            on_reply(text);
        }
    };
    const auto it = m_members.find(to);
    if (it == m_members.end())
    {
        // No process listens there: the connection is refused.
        time.delays()(message_latency, [answer] { answer(std::nullopt); });
        return;
    }
    const bool connected = from.connections.contains(to);
    time.delays()(connected ? relay_timeout : connect_timeout,
                  [answer, connected, silent = it->second->silent]
                  {
                      if (connected || silent)
                      {
                          answer(std::nullopt);
                      }
                  });
    auto* const receiver = it->second.get();
    if (receiver->silent)
    {
        return;
    }
    from.connections.insert(to);
    time.delays()(message_latency,
                  [this, receiver, bytes, answer]
                  {
                      const auto request = gateway::decode_relay_request(bytes);
                      if (receiver->stopped || !request)
                      {
                          answer(std::nullopt);
                          return;
                      }
                      ++receiver->served;
                      receiver->follower_of(request->table)
                          .serve(*request,
                                 [this, answer](const gateway::relay_reply& reply) {
                                     time.delays()(message_latency,
                                                   [answer, text = gateway::encode(reply)] { answer(text); });
                                 });
                  });
}

} // namespace masticcourse::testing

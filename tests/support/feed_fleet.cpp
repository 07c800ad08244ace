#include "support/feed_fleet.hpp"
#include "support/test_seed.hpp"

#include "masticcourse/gateway/attended_time.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace masticcourse::testing
{

using gateway::milliseconds;
using gateway::time_point;

namespace
{

/// By how much a process that is short of processor time extends the timeout of a call.
constexpr milliseconds longest_extension{2'000};
constexpr milliseconds message_latency{1};
/// Time after which a gateway gives up a new connection to another one.
constexpr milliseconds connect_timeout{150};
/// Time after which a gateway gives up a call to another one that does not reply.
constexpr milliseconds relay_timeout{1'600};

/// A gateway process: whether it runs, and what is wrong with it.
class process_state
{
  public:
    explicit process_state(virtual_time& time) : m_time(time) {}

    /// Runs @a action now, or once the process goes on; never if it has been stopped.
    void run(std::function<void()> action)
    {
        if (stopped)
        {
            return;
        }
        if (const auto now = m_time.now(); now < frozen_until)
        {
            m_time.delays()(std::chrono::ceil<milliseconds>(frozen_until - now),
                            [this, action = std::move(action)]() mutable { run(std::move(action)); });
            return;
        }
        if (const auto wait = time_to_next_pass(); wait > milliseconds{0})
        {
            m_time.delays()(wait, [this, action = std::move(action)]() mutable { run(std::move(action)); });
            return;
        }
        action();
    }
    /// Runs @a action once a reply has been read, which takes several passes of the event loop.
    void run_on_reply(std::function<void()> action)
    {
        m_time.delays()(reading_time(),
                        [this, action = std::move(action)]() mutable { run(std::move(action)); });
    }
    /// @return the time that reading a reply takes
    [[nodiscard]] milliseconds reading_time() const
    {
        constexpr int passes = 4;
        return m_time.now() < starved_until ? pass * passes : milliseconds{0};
    }
    /// @return whether the process runs at this moment
    [[nodiscard]] bool runs_now() const
    {
        return m_time.now() >= frozen_until && time_to_next_pass() == milliseconds{0};
    }
    /// From now on the process gets the processor only once in each @a interval.
    void starve(milliseconds interval, time_point until)
    {
        pass = interval;
        starved_until = until;
        m_attended.emplace();
        tick();
    }
    [[nodiscard]] time_point attended() const
    {
        return m_attended ? m_attended->at(m_time.now()) : m_time.now();
    }
    [[nodiscard]] bool cut_off() const
    {
        return m_time.now() < cut_off_until;
    }
    [[nodiscard]] bool without_store() const
    {
        return m_time.now() < without_store_until || cut_off();
    }
    [[nodiscard]] milliseconds send_delay() const
    {
        return m_time.now() < slow_until ? slow_delay : milliseconds{0};
    }

    bool stopped = false;
    bool silent = false;
    time_point frozen_until{};
    time_point cut_off_until{};
    time_point without_store_until{};
    time_point slow_until{};
    time_point starved_until{};
    /// Time between two passes of the event loop of a process that is short of processor time.
    milliseconds pass{};
    /// The end of the last disturbance.
    time_point disturbed_until{};

  private:
    [[nodiscard]] milliseconds time_to_next_pass() const
    {
        if (m_time.now() >= starved_until)
        {
            return milliseconds{0};
        }
        const auto since_pass = std::chrono::floor<milliseconds>(m_time.now().time_since_epoch()) % pass;
        return since_pass == milliseconds{0} ? milliseconds{0} : pass - since_pass;
    }
    void tick()
    {
        m_attended->tick(m_time.now());
        m_time.delays()(gateway::attended_time::tick_interval, [this] { run([this] { tick(); }); });
    }

    static constexpr milliseconds slow_delay{700};
    virtual_time& m_time;
    /// Set once the process has been short of processor time.
    std::optional<gateway::attended_time> m_attended;
};

} // namespace

/// The store as one gateway reaches it.
class feed_fleet::store_port final : public gateway::row_store
{
  public:
    store_port(feed_fleet& fleet, process_state& process) : m_fleet(fleet), m_process(process) {}

    void transact(const gateway::row_transaction& transaction,
                  gateway::transaction_callback on_reply) override
    {
        if (unreachable())
        {
            fail(m_fleet.m_call_timeout,
                 [on_reply] { on_reply({.outcome = gateway::store_outcome::refused}); });
            return;
        }
        m_fleet.store.transact(
            transaction, delivered<gateway::transaction_reply>(std::move(on_reply), m_fleet.m_call_timeout));
    }
    void query(const gateway::row_query& query, gateway::query_callback on_reply) override
    {
        if (unreachable())
        {
            fail(m_fleet.m_call_timeout, [on_reply] { on_reply({.answered = false}); });
            return;
        }
        m_fleet.store.query(query,
                            delivered<gateway::query_reply>(std::move(on_reply), m_fleet.m_call_timeout));
    }
    void list_partitions(const std::string& table, gateway::partitions_callback on_reply) override
    {
        if (unreachable())
        {
            fail(m_fleet.m_call_timeout, [on_reply] { on_reply({}); });
            return;
        }
        m_fleet.store.list_partitions(
            table, delivered<gateway::partitions_reply>(std::move(on_reply), m_fleet.m_call_timeout));
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
            fail(m_fleet.m_call_timeout + wait, [on_reply] { on_reply({}); });
            return;
        }
        m_fleet.store.follow(table, version, wait,
                             delivered<gateway::feed_reply>(std::move(on_reply), m_fleet.m_call_timeout));
    }
    [[nodiscard]] bool reachable() const override
    {
        return m_fleet.m_store_mode == store_mode::available && !m_process.without_store();
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
        return true;
    }
    /// @param timeout when a call fails that the store does not answer
    void fail(milliseconds timeout, std::function<void()> reply)
    {
        const bool refusing = m_fleet.m_store_mode == store_mode::refusing;
        m_fleet.time.delays()(refusing ? rated_store::latency : timeout,
                              [this, start = call_times(), reply = std::move(reply)]
                              {
                                  m_process.run(
                                      [this, start, reply]
                                      {
                                          if (was_attended(start, call_times()))
                                          {
                                              m_last_failure = m_fleet.time.now();
                                          }
                                          reply();
                                      });
                              });
    }
    /// @return a callback that passes a reply on when the process runs; the reply is lost if the gateway is
    /// cut off from the store when it arrives
    template <typename Reply>
    [[nodiscard]] std::function<void(Reply)> delivered(std::function<void(Reply)> on_reply,
                                                       milliseconds timeout)
    {
        return [this, timeout, on_reply = std::move(on_reply)](Reply reply)
        {
            if (m_process.without_store())
            {
                fail(timeout, [on_reply] { on_reply({}); });
                return;
            }
            if (m_process.reading_time() > timeout + longest_extension)
            {
                fail(timeout + longest_extension, [on_reply] { on_reply({}); });
                return;
            }
            m_process.run_on_reply([on_reply, reply = std::move(reply)] { on_reply(reply); });
        };
    }
    [[nodiscard]] gateway::call_start call_times() const
    {
        return {.wall = m_fleet.time.now(), .attended = m_process.attended()};
    }

    feed_fleet& m_fleet;
    process_state& m_process;
    time_point m_last_failure{};
};

class feed_fleet::member
{
  public:
    member(feed_fleet& owner, const std::string& own_address, const std::string& failure_domain,
           const std::string& own_node)
        : fleet(owner), address(own_address), domain(failure_domain), node(own_node), process(owner.time),
          store(owner, process),
          peers({own_address, 1, {failure_domain}}, derive_seed(test_seed(), own_address)),
          feeds{.store = store,
                .peers = peers,
                .relay = [this](const auto& to, const auto& bytes, const auto& on_reply)
                { fleet.relay(*this, to, bytes, on_reply); },
                .delay = [this](milliseconds after, const std::function<void()>& action)
                { fleet.time.delays()(after, [this, action] { process.run(action); }); },
                .clock = owner.time.clock(),
                .boottime_clock = owner.time.clock(),
                .attended_clock = [this] { return process.attended(); }},
          list(feeds, own_node, {own_address, 1, {failure_domain}}),
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
    std::string node;
    process_state process;
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
    add(address, failure_domain, address);
}

void feed_fleet::add(const std::string& address, const std::string& failure_domain, const std::string& node)
{
    auto& it = m_members[address] = std::make_unique<member>(*this, address, failure_domain, node);
    it->process.disturbed_until = time.now();
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
                              it->process.silent = true;
                              it->process.stopped = true;
                          });
}

void feed_fleet::restart(double share, milliseconds downtime)
{
    for (auto* const it : choose(share))
    {
        const auto address = it->address;
        const auto domain = it->domain;
        stop(address);
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
        if (!it->process.stopped && !it->store.turned_away)
        {
            shortest = std::min(shortest, it->targets.time_since_failure());
        }
    }
    return shortest;
}

std::size_t feed_fleet::running() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [](const auto& it) { return !it.second->process.stopped; }));
}

std::size_t feed_fleet::knowing(const std::string& table, const std::string& key,
                                const std::string& value) const
{
    const auto knows = [&](const auto& it)
    {
        const auto row = it.second->rows.find({table, key});
        return !it.second->process.stopped && row != it.second->rows.end() && row->second.value == value;
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_members, knows));
}

std::pair<std::size_t, std::size_t> feed_fleet::list_sizes() const
{
    std::vector<std::size_t> sizes;
    for (const auto& [address, it] : m_members)
    {
        if (!it->process.stopped)
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
                       const gateway::relay_callback& on_reply)
{
    ++messages;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, &from, on_reply](const std::optional<gateway::relayed_reply>& reply)
    {
        from.process.run(
            [answered, on_reply, reply]
            {
                if (!std::exchange(*answered, true))
                {
                    on_reply(reply);
                }
            });
    };
    const auto it = m_members.find(to);
    if (it == m_members.end() && !m_dark.contains(to))
    {
        // No process listens there: the connection is refused.
        time.delays()(message_latency, [answer] { answer(std::nullopt); });
        return;
    }
    auto* const receiver = it == m_members.end() ? nullptr : it->second.get();
    const auto is_cut = [&from, receiver]
    { return from.process.cut_off() || receiver == nullptr || receiver->process.cut_off(); };
    const bool connected = from.connections.contains(to);
    const bool silent = is_cut() || receiver->process.silent;
    time.delays()(connected ? relay_timeout : connect_timeout,
                  [answer, connected, silent]
                  {
                      if (connected || silent)
                      {
                          answer(std::nullopt);
                      }
                  });
    if (silent)
    {
        return;
    }
    if (!connected)
    {
        from.connections.insert(to);
        time.delays()(relay_timeout, [answer] { answer(std::nullopt); });
    }
    const auto serve = [this, receiver, bytes, answer, is_cut]
    {
        const auto request = gateway::decode_relay_request(bytes);
        if (!request)
        {
            answer(std::nullopt);
            return;
        }
        ++receiver->served;
        receiver->follower_of(request->table)
            .serve(*request,
                   [this, receiver, answer, is_cut](const gateway::relay_reply& reply)
                   {
                       const gateway::relayed_reply sent{.bytes = gateway::encode(reply), .held = reply.held};
                       time.delays()(message_latency + receiver->process.send_delay(),
                                     [answer, is_cut, sent]
                                     {
                                         if (!is_cut())
                                         {
                                             answer(sent);
                                         }
                                     });
                   });
    };
    time.delays()(message_latency + from.process.send_delay(),
                  [receiver, serve, answer, is_cut]
                  {
                      if (is_cut())
                      {
                          return;
                      }
                      if (receiver->process.stopped)
                      {
                          answer(std::nullopt);
                          return;
                      }
                      receiver->process.run(serve);
                  });
}

void feed_fleet::stop(const std::string& address)
{
    auto& it = m_members[address];
    it->process.stopped = true;
    m_stopped.push_back(std::move(it));
    m_members.erase(address);
}

void feed_fleet::disturb(const std::string& address, gateway_fault fault, milliseconds span)
{
    auto& it = *m_members.at(address);
    const auto until = time.now() + span;
    const auto domain = it.domain;
    const auto node = it.node;
    it.process.disturbed_until = std::max(it.process.disturbed_until, until);
    switch (fault)
    {
    case gateway_fault::cut_off:
        it.process.cut_off_until = until;
        return;
    case gateway_fault::frozen:
        it.process.frozen_until = until;
        return;
    case gateway_fault::slow:
        it.process.slow_until = until;
        return;
    case gateway_fault::without_store:
        it.process.without_store_until = until;
        return;
    case gateway_fault::dark:
    case gateway_fault::replaced:
        m_dark.insert(address);
        break;
    case gateway_fault::killed:
        break;
    }
    stop(address);
    const bool replaced = fault == gateway_fault::replaced;
    const auto next = replaced ? domain + " r" + std::to_string(m_replacements++) : address;
    time.delays()(span,
                  [this, next, domain, node]
                  {
                      m_dark.erase(next);
                      add(next, domain, node);
                  });
}

void feed_fleet::starve(const std::string& address, milliseconds interval, milliseconds span)
{
    m_members.at(address)->process.starve(interval, time.now() + span);
}

std::vector<std::string> feed_fleet::undisturbed(const std::string& failure_domain) const
{
    std::vector<std::string> found;
    for (const auto& [address, it] : m_members)
    {
        if (it->domain == failure_domain && !it->process.stopped && it->process.disturbed_until <= time.now())
        {
            found.push_back(address);
        }
    }
    return found;
}

std::vector<std::string> feed_fleet::roots_among(const std::vector<std::string>& addresses) const
{
    std::vector<std::string> roots;
    std::ranges::copy_if(addresses, std::back_inserter(roots),
                         [this](const auto& it) { return m_members.at(it)->peers.feed_sources() == 0; });
    return roots;
}

void feed_fleet::publish(const std::string& table)
{
    auto& times = m_published[table];
    times.push_back(time.now());
    store.put(table, "published", std::to_string(times.size()));
}

bool feed_fleet::in_touch(const member& it) const
{
    constexpr gateway::seconds contact_time{3};
    return !it.process.stopped && it.process.disturbed_until + contact_time <= time.now();
}

gateway::duration feed_fleet::age_of_knowledge(const member& it, const std::string& table) const
{
    const auto& times = m_published.at(table);
    const auto row = it.rows.find({table, "published"});
    const auto known = row == it.rows.end() ? std::size_t{0} : std::stoul(row->second.value);
    return known < times.size() ? time.now() - times[known] : gateway::duration{};
}

gateway::duration feed_fleet::lag_of(const std::string& address, const std::string& table) const
{
    return age_of_knowledge(*m_members.at(address), table);
}

feed_fleet::knowledge feed_fleet::knowledge_of(const std::string& table) const
{
    knowledge found;
    for (const auto& [address, it] : m_members)
    {
        if (it->process.stopped || !it->process.runs_now())
        {
            continue;
        }
        const auto age = age_of_knowledge(*it, table);
        const auto& follower = it->follower_of(table);
        if (follower.loaded())
        {
            found.understated = std::max(found.understated, age - follower.age());
        }
        if (!in_touch(*it))
        {
            continue;
        }
        const bool decides = follower.currency() != gateway::table_currency::out_of_date;
        found.undecided += decides ? 0 : 1;
        found.oldest = std::max(found.oldest, decides ? age : gateway::duration{});
    }
    return found;
}

} // namespace masticcourse::testing

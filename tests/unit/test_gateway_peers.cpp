// Responsiveness of peers, selection of collectors, and failover when a collector fails.
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/peer_directory.hpp"
#include "masticcourse/gateway/peer_list.hpp"

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1'000s};

std::vector<peer> make_peers(int count)
{
    std::vector<peer> peers;
    peers.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
    {
        peers.push_back({"10.0.0." + std::to_string(n) + ":1", 1});
    }
    return peers;
}

/// Directly connected gateways, each with its own connection to the same rows.
struct router_world
{
    struct member
    {
        member(router_world& world, const peer& self)
            : peers(self, derive_seed(test_seed(), self.address)), store(world.rows, world.time.delays()),
              local_commits(store, world.time.delays(), world.time.clock(),
                            derive_seed(test_seed(), self.address)),
              router(
                  local_commits, store, peers,
                  [&world](const std::string& to, std::string bytes, collector_callback on_reply)
                  { world.call(to, std::move(bytes), std::move(on_reply)); },
                  world.time.delays(), world.time.clock())
        {
        }
        peer_directory peers;
        memory_store store;
        commit_queue local_commits;
        commit_router router;
    };

    explicit router_world(int count)
    {
        for (const auto& it : make_peers(count))
        {
            members[it.address] = std::make_unique<member>(*this, it);
            members[it.address]->peers.set(make_peers(count));
        }
    }

    void call(const std::string& to, std::string bytes, collector_callback on_reply)
    {
        ++messages;
        if (unresponsive.contains(to))
        {
            time.delays()(400ms, [on_reply] { on_reply({}); });
            return;
        }
        time.delays()(1ms, [this, to, bytes = std::move(bytes), on_reply]
                      { members[to]->router.collect(bytes, on_reply); });
    }

    void put(member& by, const std::string& key, std::optional<row_version> expected = std::nullopt)
    {
        row_change change{.puts = {{{"t", key}, "value of " + key}}, .expires = time.now() + 3s};
        if (expected)
        {
            change.condition = row_condition{{"t", key}, *expected};
        }
        by.router.submit("p", std::move(change), [this](const change_result& it) { results.push_back(it); });
    }

    [[nodiscard]] auto done() const
    {
        return std::ranges::count(results, store_outcome::done, &change_result::outcome);
    }

    virtual_time time;
    row_table rows;
    std::map<std::string, std::unique_ptr<member>> members;
    std::vector<change_result> results;
    /// Addresses of gateways that never reply.
    std::set<std::string> unresponsive;
    int messages = 0;
};

/// Store load and messages caused by a fixed sequence of changes.
struct load_figures
{
    std::size_t transactions = 0;
    int messages = 0;
    std::ptrdiff_t done = 0;
    std::ptrdiff_t wanted = 0;
};

enum class collector_fault
{
    none,
    store_unreachable,
    unresponsive,
};

/// Every third of @a count gateways has @a fault; the others write at a constant rate to eight partitions for
/// five seconds.
load_figures write_steadily(int count, collector_fault fault)
{
    router_world world{count};
    std::vector<router_world::member*> writers;
    std::vector<router_world::member*> cut_off_members;
    for (int n = 0; auto& [address, member] : world.members)
    {
        const bool healthy = n++ % 3 != 0;
        if (healthy)
        {
            writers.push_back(member.get());
        }
        else if (fault == collector_fault::store_unreachable)
        {
            member->store.mode = store_mode::refusing;
            member->store.reported_reachable = false;
            cut_off_members.push_back(member.get());
        }
        else if (fault == collector_fault::unresponsive)
        {
            world.unresponsive.insert(address);
        }
    }
    load_figures figures;
    for (int round = 0; round < 50; ++round)
    {
        for (auto* const it : cut_off_members)
        {
            it->store.direct_path_down = round * 100ms;
        }
        for (auto* const writer : writers)
        {
            const auto n = figures.wanted++;
            row_change change{.puts = {{{"t", std::to_string(n)}, "value"}},
                              .expires = world.time.now() + 5s};
            writer->router.submit("p" + std::to_string(n % 8), std::move(change),
                                  [&world](const change_result& it) { world.results.push_back(it); });
        }
        world.time.run(100ms);
    }
    world.time.run(2s);
    figures.transactions = world.rows.transactions();
    figures.messages = world.messages;
    figures.done = world.done();
    return figures;
}

/// A gateway that discovers others through the store.
struct listed_gateway
{
    /// @param node the name of its VM; its address if empty
    listed_gateway(virtual_time& time, row_table& rows, const std::string& address,
                   const std::string& node = "")
        : directory({address, 1}, derive_seed(test_seed(), address)), store(rows, time.delays()),
          list({.store = store,
                .peers = directory,
                .relay = [](const auto&, const auto&, const auto& on_reply) { on_reply(std::nullopt); },
                .delay = time.delays(),
                .clock = time.clock(),
                .boottime_clock = time.clock(),
                .seed = derive_seed(test_seed(), address)},
               node.empty() ? address : node, {address, 1})
    {
    }
    peer_directory directory;
    memory_store store;
    peer_list list;
};

} // namespace

TEST_CASE("all gateways select the same collector, and partitions are distributed by weight")
{
    auto peers = make_peers(10);
    peers[0].cores = 8;
    std::map<std::string, int> shares;
    for (int n = 0; n < 1'000; ++n)
    {
        const auto partition = "p" + std::to_string(n);
        std::string named;
        for (const auto& self : peers)
        {
            peer_directory directory{self, test_seed()};
            directory.set(peers);
            const auto collector = directory.collector_of(partition, start).value_or(self.address);
            CHECK((named.empty() || named == collector));
            named = collector;
        }
        ++shares[named];
    }
    CHECK(shares[peers[0].address] > 350);
    CHECK(shares[peers[0].address] < 600);
    CHECK(shares.size() == 10);
}

// Load pattern: VMs with a tenth of a core among larger ones. Such a VM cannot keep up as the collector of an
// eighth of the commits of 34 gateways, and replies to neither commits nor reads in time.
TEST_CASE("a VM with little CPU collects no commits while there are others")
{
    std::vector<peer> peers = make_peers(10);
    for (std::size_t n = 0; n < 8; ++n)
    {
        peers[n].cores = 0.09;
    }
    peers[8].cores = 0.22;
    peers[9].cores = 0.5;
    for (int n = 0; n < 100; ++n)
    {
        const auto partition = "p" + std::to_string(n);
        for (const auto& self : peers)
        {
            peer_directory directory{self, test_seed()};
            directory.set(peers);
            const auto collector = directory.collector_of(partition, start).value_or(self.address);
            CHECK((collector == peers[8].address || collector == peers[9].address));
        }
    }
    peer_directory alone{peers[0], test_seed()};
    alone.set({peers[0], peers[1]});
    CHECK(alone.collector_of("p", start).value_or(peers[0].address) != peers[9].address);
}

TEST_CASE("an unresponsive gateway is excluded, longer with each failure, until it replies")
{
    const auto peers = make_peers(2);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    const auto& other = peers[1].address;
    CHECK(directory.choose(5, start) == std::vector{other});
    directory.failed(other, start);
    CHECK(directory.choose(5, start).empty());
    CHECK(directory.choose(5, start + 1'500ms).size() == 1);
    directory.failed(other, start + 2s);
    CHECK(directory.choose(5, start + 4s).empty());
    directory.answered(other);
    CHECK(directory.choose(5, start + 4s).size() == 1);
    for (int n = 0; n < 10; ++n)
    {
        CHECK(directory.collector_of(std::to_string(n), start + 4s).value_or(other) == other);
    }
}

TEST_CASE("a gateway that cannot reach the store is excluded briefly, however often it reports this")
{
    const auto peers = make_peers(2);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    const auto& other = peers[1].address;
    for (int n = 0; n < 10; ++n)
    {
        directory.mark_store_unreachable(other, start);
    }
    CHECK(directory.choose(5, start + 200ms).empty());
    CHECK(directory.choose(5, start + 300ms).size() == 1);
}

TEST_CASE("a response that says nothing about the store does not bring back a gateway that cannot reach it")
{
    const auto peers = make_peers(2);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    const auto& other = peers[1].address;
    directory.mark_store_unreachable(other, start, 4s);
    directory.responded(other);
    CHECK(directory.choose(5, start + 1s).empty());
    directory.answered(other);
    CHECK(directory.choose(5, start + 1s).size() == 1);
    directory.failed(other, start);
    directory.responded(other);
    CHECK(directory.choose(5, start + 1s).size() == 1);
}

TEST_CASE("the changes of many gateways share few transactions through a collector")
{
    router_world world{40};
    for (int round = 0; round < 10; ++round)
    {
        for (auto& [address, member] : world.members)
        {
            world.put(*member, address + "/" + std::to_string(round));
        }
        world.time.run(20ms);
    }
    world.time.run(200ms);
    CHECK(world.done() == 400);
    CHECK(world.rows.transactions() < 60);
}

TEST_CASE("changes sent to a dead collector are still written, and others collect from then on")
{
    router_world world{5};
    auto& first = *world.members.begin()->second;
    world.unresponsive.insert(first.peers.collector_of("p", world.time.now()).value_or(""));
    for (auto& [address, member] : world.members)
    {
        world.put(*member, address, 0);
    }
    world.time.run(1s);
    CHECK(world.done() == 5);
    const auto messages = world.messages;
    for (auto& [address, member] : world.members)
    {
        world.put(*member, address + "/again", 0);
    }
    world.time.run(100ms);
    CHECK(world.done() == 10);
    CHECK(world.messages > messages);
}

TEST_CASE("a condition that fails at the collector is reported to the sender of that change")
{
    router_world world{3};
    auto& one = *world.members.begin()->second;
    auto& two = *world.members.rbegin()->second;
    world.put(one, "same", 0);
    world.put(two, "same", 0);
    world.put(two, "other", 0);
    world.time.run(300ms);
    CHECK(world.done() == 2);
    const auto conflict = std::ranges::find(world.results, store_outcome::conflict, &change_result::outcome);
    REQUIRE(conflict != world.results.end());
    CHECK(conflict->current->value == "value of same");
}

TEST_CASE("commit messages round-trip, and malformed ones are rejected")
{
    const std::vector<routed_change> changes{
        {"p1", {.puts = {{{"t", "a"}, std::string("\0\xff", 2)}}, .expires = start + 2s}},
        {"p2", {.condition = row_condition{{"t", "b"}, 7}, .puts = {}, .expires = start + 1s}}};
    const auto bytes = encode_changes(changes, start);
    const auto read = decode_changes(bytes, start + 1h);
    REQUIRE(read);
    REQUIRE(read->size() == 2);
    CHECK(read->at(0).change.puts.at(0).value == std::string("\0\xff", 2));
    CHECK_FALSE(read->at(0).change.condition);
    CHECK(read->at(1).change.condition->version == 7);
    CHECK(read->at(1).change.expires == start + 1h + 1s);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(decode_changes(bytes.substr(0, n), start));
    }
    CHECK_FALSE(decode_changes(std::string("\x81\x01"), start));

    const std::vector<change_result> results{
        {.outcome = store_outcome::conflict, .current = stored_row{{"t", "a"}, "v", 9}},
        {.outcome = store_outcome::done, .version = 12}};
    const auto got = decode_results(encode_results(results));
    REQUIRE(got);
    CHECK(got->at(0).current->version == 9);
    CHECK(got->at(1).version == 12);
    using namespace std::string_literals;
    CHECK_FALSE(decode_results("\x81\x83\x09\x00\xf6"s));
}

TEST_CASE("gateways discover each other through the store; one that leaves or stops refreshing is removed")
{
    virtual_time time;
    row_table rows;
    listed_gateway one{time, rows, "one:1"};
    listed_gateway two{time, rows, "two:1"};
    listed_gateway three{time, rows, "three:1"};
    one.list.start();
    two.list.start();
    three.list.start();
    time.run(4s);
    const auto seen_by_one = [&] { return one.directory.choose(5, time.now()).size(); };
    CHECK(seen_by_one() == 2);
    two.list.leave();
    time.run(4s);
    CHECK(seen_by_one() == 1);
    // The third gateway stops responding permanently.
    three.store.mode = store_mode::unresponsive;
    time.run(10s);
    CHECK(seen_by_one() == 1);
    time.run(20s);
    CHECK(seen_by_one() == 0);
}

// Guards against a gateway that follows, or sends commits to, the earlier process of its own VM or a process
// that is listed twice, after VMs came back at other addresses or under other names.
TEST_CASE("the list holds no earlier process of a gateway's own VM, and each address once")
{
    virtual_time time;
    row_table rows;
    const auto list = [&rows](const std::string& node, const std::string& address) {
        std::ignore = rows.apply({.puts = {{{peer_list::table_name, node}, address + " 1 "}}});
    };
    list("other", "old-name:1");
    list("renamed", "old-name:1");
    listed_gateway gateway{time, rows, "new-address:1", "vm"};
    gateway.list.start();
    time.run(4s);
    CHECK(gateway.directory.size() == 1);
    // A write of the earlier process that was under way when its VM lost power.
    list("vm", "old-address:1");
    time.run(2s);
    CHECK_FALSE(gateway.directory.contains("old-address:1"));
    CHECK(gateway.directory.size() == 1);
}

// Load pattern: a store outage of seconds under full load. If senders considered their collectors failed
// meanwhile, they would all write directly after it, the partitions would stay overloaded, and collectors
// would keep missing their reply time.
TEST_CASE("after an outage the collectors are unchanged, and changes share few transactions")
{
    for (const auto mode : {store_mode::unresponsive, store_mode::refusing})
    {
        router_world world{40};
        const auto put_all = [&](const std::string& round)
        {
            for (auto& [address, member] : world.members)
            {
                world.put(*member, address + round);
            }
        };
        for (auto& [address, member] : world.members)
        {
            member->store.mode = mode;
        }
        put_all("/early");
        world.time.run(300ms);
        for (auto& [address, member] : world.members)
        {
            member->store.reported_reachable = false;
        }
        world.time.run(2s);
        CHECK(world.done() == 0);
        for (auto& [address, member] : world.members)
        {
            member->store.mode = store_mode::available;
            member->store.reported_reachable = true;
        }
        const auto before = world.rows.transactions();
        put_all("/late");
        world.time.run(700ms);
        CHECK(world.done() == 80);
        CHECK(world.rows.transactions() - before < 20);
    }
}

TEST_CASE("a collector that cannot reach the store is replaced by one that can")
{
    router_world world{5};
    auto& first = *world.members.begin()->second;
    const auto collector =
        first.peers.collector_of("p", world.time.now()).value_or(world.members.begin()->first);
    auto& cut_off = *world.members[collector];
    cut_off.store.mode = store_mode::refusing;
    cut_off.store.reported_reachable = false;
    for (auto& [address, member] : world.members)
    {
        if (address != collector)
        {
            world.put(*member, address);
        }
    }
    world.time.run(100ms);
    CHECK(world.done() == 4);
}

// Load pattern: a store outage of seconds, in which each of forty gateways asks a few random peers to relay
// its calls. If gateways treated peers without a connection to the store as failed, they would select
// different collectors after the outage, and their direct writes would conflict with each other.
TEST_CASE("gateways that tried to relay through each other in an outage soon agree on the collector again")
{
    router_world world{40};
    for (int round = 0; round < 80; ++round)
    {
        for (auto& [address, member] : world.members)
        {
            for (const auto& asked : member->peers.choose(2, world.time.now()))
            {
                member->peers.mark_store_unreachable(asked, world.time.now());
            }
        }
        world.time.run(50ms);
    }
    world.time.run(250ms);
    for (auto& [address, member] : world.members)
    {
        world.put(*member, address);
    }
    world.time.run(100ms);
    CHECK(world.done() == 40);
    CHECK(world.rows.transactions() < 6);
}

// Load pattern: the store rejects a third of the gateways, or a third stops responding, including collectors.
// The other gateways share the same partitions: if each wrote directly, the load on the partitions would grow
// with the number of gateways.
TEST_CASE("the load on partitions does not grow with the number of gateways that lost their collectors")
{
    for (const int count : {10, 100, 400})
    {
        const auto baseline = write_steadily(count, collector_fault::none);
        CHECK(baseline.done == baseline.wanted);
        for (const auto fault : {collector_fault::store_unreachable, collector_fault::unresponsive})
        {
            CAPTURE(count);
            CAPTURE(static_cast<int>(fault));
            const auto figures = write_steadily(count, fault);
            CHECK(figures.done == figures.wanted);
            CHECK(figures.transactions < baseline.transactions * 5 / 4);
            CHECK(figures.messages < baseline.messages * 3 / 2);
        }
    }
}

TEST_CASE("a gateway that cannot reach the store collects only if no other gateway can")
{
    const auto peers = make_peers(5);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    for (int n = 0; n < 100; ++n)
    {
        CHECK(directory.collector_of(std::to_string(n), start, true));
    }
    for (const auto& it : peers)
    {
        directory.mark_store_unreachable(it.address, start);
    }
    CHECK_FALSE(directory.collector_of("p", start, true));
    directory.clear_store_unreachable();
    CHECK(directory.collector_of("p", start, true));
}

TEST_CASE("a gateway is excluded longer the longer it has been unable to reach the store, up to a limit")
{
    struct row
    {
        milliseconds unreachable_for;
        milliseconds excluded_for;
    };
    const auto peers = make_peers(2);
    for (const auto& it : {row{0ms, 300ms}, row{1s, 500ms}, row{60s, 2'400ms}})
    {
        peer_directory directory{peers[0], test_seed()};
        directory.set(peers);
        directory.mark_store_unreachable(peers[1].address, start, it.unreachable_for);
        CHECK(directory.choose(1, start + it.excluded_for - 1ms).empty());
        CHECK(directory.choose(1, start + it.excluded_for).size() == 1);
    }
}

TEST_CASE("an unresponsive gateway is probed with one request, and excluded until it replies")
{
    const auto peers = make_peers(2);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    const auto& other = peers[1].address;
    directory.failed(other, start);
    const auto later = start + 1'500ms;
    CHECK(directory.choose(1, later).size() == 1);
    directory.start_probe(other, later);
    CHECK(directory.choose(1, later + 999ms).empty());
    directory.answered(other);
    directory.start_probe(other, later);
    CHECK(directory.choose(1, later).size() == 1);
}

TEST_CASE("while the store is unreachable, changes wait without messages to collectors, and expire in time")
{
    router_world world{5};
    for (auto& [address, member] : world.members)
    {
        member->store.mode = store_mode::refusing;
        member->store.reported_reachable = false;
    }
    auto& writer = *world.members.begin()->second;
    world.put(writer, "early");
    world.time.run(500ms);
    const auto messages = world.messages;
    world.put(writer, "late");
    world.time.run(2s);
    CHECK(world.messages == messages);
    CHECK(writer.router.pending() == 2);
    world.time.run(2s);
    CHECK(std::ranges::count(world.results, store_outcome::unknown, &change_result::outcome) == 2);
    CHECK(writer.router.pending() == 0);
}

TEST_CASE("the peer that last relayed a call is tried first, as long as it can reach the store")
{
    const auto peers = make_peers(50);
    peer_directory directory{peers[0], test_seed()};
    directory.set(peers);
    const auto& relay = peers[7].address;
    CHECK(directory.choose(3, start, relay).front() == relay);
    CHECK(directory.choose(3, start, relay).size() == 3);
    directory.mark_store_unreachable(relay, start);
    const auto others = directory.choose(49, start, relay);
    CHECK(std::ranges::find(others, relay) == others.end());
}

TEST_CASE("a gateway without a direct path to the store forwards changes to its own partitions")
{
    router_world world{5};
    for (auto& [address, member] : world.members)
    {
        if (!member->peers.collector_of("p", world.time.now()))
        {
            member->store.direct_path_down = 1s;
            member->store.mode = store_mode::unresponsive;
            world.put(*member, "row");
        }
    }
    world.time.run(50ms);
    CHECK(world.messages == 1);
    CHECK(world.done() == 1);
}

// Load pattern: the store stops responding to all gateways, and each still assumes that its peers can reach
// it. If each gateway tried one collector after the other, the messages would grow quadratically with their
// number.
TEST_CASE(
    "until an outage is known to be global, a gateway's messages do not grow with the number of gateways")
{
    std::map<int, int> messages;
    for (const int count : {10, 100, 400})
    {
        router_world world{count};
        for (auto& [address, member] : world.members)
        {
            member->store.mode = store_mode::unresponsive;
            member->store.direct_path_down = 0ms;
        }
        for (int round = 0; round < 20; ++round)
        {
            for (auto& [address, member] : world.members)
            {
                for (int n = 0; n < 8; ++n)
                {
                    row_change change{.puts = {{{"t", address}, "value"}}, .expires = world.time.now() + 5s};
                    member->router.submit("p" + std::to_string(n), std::move(change), [](const auto&) {});
                }
            }
            world.time.run(50ms);
        }
        CAPTURE(count);
        // The changes of each of the eight partitions try three collectors per round. The delay between
        // rounds doubles from 25 ms to 200 ms, which allows eight rounds in the first second.
        constexpr int most_a_gateway = 8 * 3 * 8;
        CHECK(world.messages <= count * most_a_gateway);
        messages[count] = world.messages;
    }
    CHECK(messages[400] / 400 <= messages[100] / 100 * 5 / 4);
}

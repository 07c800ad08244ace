// Following tables of the store through other gateways: load on the store and on each gateway by number of
// gateways, and the time until a change is known everywhere, with and without failures.
#include "support/feed_fleet.hpp"

#include "masticcourse/gateway/feed/feed_messages.hpp"
#include "masticcourse/gateway/feed/feed_tree.hpp"
#include "masticcourse/gateway/feed/table_mirror.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t domains = 5;
constexpr std::size_t tables = 3;
constexpr std::size_t roots = feed_roots * domains;
/// Sizes at which the laws are checked: each is three times the one before.
constexpr std::array<std::size_t, 3> fleet_sizes{40, 120, 360};

std::vector<peer> make_domain(std::size_t count, const std::string& domain)
{
    std::vector<peer> peers;
    for (std::size_t n = 0; n < count; ++n)
    {
        peers.push_back({domain + ":" + std::to_string(n), n % 3 == 0 ? 0.5 : 0.09, {domain}});
    }
    return peers;
}

/// A fleet whose gateways have all read the tables.
struct settled_fleet : feed_fleet
{
    explicit settled_fleet(std::size_t gateways) : feed_fleet(gateways, domains)
    {
        store.put(config_table, "config", "first");
        time.run(20s);
        REQUIRE(knowing(config_table, "config", "first") == gateways);
        std::ignore = take_most_served();
    }

    /// @return the time until all running gateways know the row, in steps of 50 ms; at most @a limit
    milliseconds time_until_known(const std::string& table, const std::string& key, const std::string& value,
                                  milliseconds limit)
    {
        milliseconds waited{0};
        while (knowing(table, key, value) < running() && waited < limit)
        {
            time.run(50ms);
            waited += 50ms;
        }
        return waited;
    }
};

} // namespace

TEST_CASE("each gateway follows one that ranks higher, few follow the store, and few follow any one")
{
    for (const std::size_t count : {1U, 3U, 4U, 30U, 125U, 500U})
    {
        CAPTURE(count);
        auto peers = make_domain(count, "a");
        const auto elsewhere = make_domain(50, "b");
        peers.insert(peers.end(), elsewhere.begin(), elsewhere.end());
        std::size_t without_source = 0;
        std::map<std::string, std::size_t> followers;
        std::map<std::string, std::string> parents;
        for (std::size_t n = 0; n < count; ++n)
        {
            auto others = peers;
            std::erase_if(others, [&](const peer& it) { return it.address == peers[n].address; });
            feed_tree tree{peers[n]};
            tree.set(others);
            if (tree.sources().empty())
            {
                ++without_source;
                continue;
            }
            CHECK(tree.sources().front().starts_with("a:"));
            ++followers[tree.sources().front()];
            parents[peers[n].address] = tree.sources().front();
        }
        CHECK(without_source == std::min(count, feed_roots));
        for (const auto& [address, number] : followers)
        {
            CHECK(number <= feed_fanout);
        }
        std::size_t depth = 0;
        for (auto [address, parent] : parents)
        {
            std::size_t length = 1;
            while (parents.contains(parent) && length < count)
            {
                parent = parents[parent];
                ++length;
            }
            depth = std::max(depth, length);
        }
        CHECK(static_cast<double>(depth) <= 1 + std::log(static_cast<double>(count)) / std::log(feed_fanout));
    }
}

TEST_CASE("gateways with different lists of their peers never follow each other in a cycle")
{
    std::minstd_rand random{5};
    const auto peers = make_domain(60, "a");
    std::map<std::string, std::vector<std::string>> sources;
    for (const auto& self : peers)
    {
        auto known = peers;
        std::ranges::shuffle(known, random);
        known.resize(20);
        std::erase_if(known, [&](const peer& it) { return it.address == self.address; });
        feed_tree tree{self};
        tree.set(known);
        sources[self.address] = tree.sources();
    }
    for (const auto& [address, direct] : sources)
    {
        std::set<std::string> reached(direct.begin(), direct.end());
        for (std::size_t round = 0; round < peers.size(); ++round)
        {
            const auto before = reached;
            for (const auto& it : before)
            {
                reached.insert(sources[it].begin(), sources[it].end());
            }
        }
        CHECK_FALSE(reached.contains(address));
    }
}

TEST_CASE("a mirror tells the changes after any version, and ignores older rows")
{
    table_mirror mirror;
    const auto row = [](const std::string& key, row_version version) {
        return stored_row{.name = {"t", key}, .value = key, .version = version};
    };
    mirror.load({row("a", 3), row("b", 5)}, 7);
    CHECK(mirror.last_change() == 5);
    CHECK(mirror.apply(row("c", 9), 9));
    CHECK_FALSE(mirror.apply(row("c", 8), 10));
    CHECK(mirror.changes_after(3)->size() == 2);
    CHECK(mirror.changes_after(9)->empty());
    SUBCASE("a removal that states the version of the removed row")
    {
        CHECK(mirror.apply({.name = {"t", "b"}, .version = 5, .removed = true}, 12));
        REQUIRE(mirror.changes_after(9)->size() == 1);
        CHECK(mirror.changes_after(9)->front().removed);
        CHECK(mirror.rows().size() == 2);
    }
    SUBCASE("a row that is missing from a later snapshot")
    {
        mirror.load({row("a", 3), row("c", 9)}, 11);
        REQUIRE(mirror.changes_after(9)->size() == 1);
        CHECK(mirror.changes_after(9)->front().name.key == "b");
    }
    SUBCASE("more removals than are remembered")
    {
        for (row_version n = 20; n < 2'020; ++n)
        {
            mirror.apply(row("d", n), n);
            const auto key = std::to_string(n);
            mirror.apply({.name = {"t", key}, .version = n, .removed = true}, n);
        }
        CHECK_FALSE(mirror.changes_after(9));
        CHECK(mirror.changes_after(2'000));
    }
}

TEST_CASE("relay messages round-trip, and malformed ones are rejected")
{
    const relay_request request{.table = "t", .after = 7, .wait = 900ms};
    const auto read = decode_relay_request(encode(request));
    REQUIRE(read);
    CHECK(read->table == "t");
    CHECK(read->after == 7);
    CHECK(read->wait == 900ms);
    const relay_reply reply{.snapshot = true,
                            .rows = {{.name = {"t", "a"}, .value = std::string("\0\xff", 2), .version = 4},
                                     {.name = {"t", "b"}, .version = 6, .removed = true}},
                            .version = 9,
                            .age = 20ms,
                            .since_failure = 3s};
    const auto bytes = encode(reply);
    const auto got = decode_relay_reply(bytes, "t");
    REQUIRE(got);
    CHECK(got->snapshot);
    REQUIRE(got->rows.size() == 2);
    CHECK(got->rows[0].value == std::string("\0\xff", 2));
    CHECK(got->rows[0].name == row_name{"t", "a"});
    CHECK(got->rows[1].removed);
    CHECK(got->version == 9);
    CHECK(got->age == 20ms);
    CHECK(got->since_failure == 3s);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(decode_relay_reply(bytes.substr(0, n), "t"));
        CHECK_FALSE(decode_relay_request(bytes.substr(0, n)));
    }
}

// Load pattern: a quiet minute. What the gateways ask of the store must not grow with their number, but for
// the refresh of each one's entry.
TEST_CASE("at rest, the calls to the store are those of the roots and one refresh per gateway")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        settled_fleet fleet{gateways};
        const auto before = fleet.store.usage;
        fleet.time.run(20s);
        const auto used = fleet.store.usage - before;
        // One call per second, root and table; each second's refreshes of entries wake the feeds once.
        CHECK(used.reads <= 20 * roots * tables * 3 / 2);
        CHECK(used.writes <= 20 * gateways / 8);
        // Each refresh is read by the roots alone.
        CHECK(used.rows <= used.writes * roots * 3 / 2);
        CHECK(used.refused == 0);
        // Three tables of at most eight followers, once per second.
        CHECK(fleet.take_most_served() <= 20 * tables * feed_fanout * 3 / 2);
        CHECK(fleet.list_sizes() == std::pair{gateways, gateways});
    }
}

// Load pattern: targets are replaced one after the other, and each change would wake the feed of each
// gateway.
TEST_CASE("changes of targets that trickle cost calls by the number of roots, not of gateways")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        settled_fleet fleet{gateways};
        const auto before = fleet.store.usage;
        constexpr std::size_t changes = 100;
        for (std::size_t n = 0; n < changes; ++n)
        {
            fleet.store.put(feed_fleet::target_table, "target " + std::to_string(n), "ready");
            fleet.time.run(50ms);
        }
        const auto used = fleet.store.usage - before;
        CHECK(used.reads <= changes * roots + 5 * roots * tables * 3 / 2);
        const auto last = "target " + std::to_string(changes - 1);
        CHECK(fleet.time_until_known(feed_fleet::target_table, last, "ready", 5s) <= 300ms);
        CHECK(fleet.knowing(feed_fleet::target_table, "target 0", "ready") == gateways);
    }
}

// Load pattern: all gateways start within 0.3 s.
TEST_CASE("a start of all gateways stays within the store's rates, and soon all know each other")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        feed_fleet fleet{gateways, domains};
        fleet.store.put(feed_fleet::config_table, "config", "first");
        fleet.time.run(2s);
        CHECK(fleet.store.usage.refused == 0);
        CHECK(fleet.knowing(feed_fleet::config_table, "config", "first") == gateways);
        fleet.time.run(8s);
        CHECK(fleet.list_sizes() == std::pair{gateways, gateways});
        // The list that a gateway reads from the store has a bounded length.
        CHECK(fleet.store.usage.rows <= gateways * 64 + gateways * roots * 4);
    }
}

TEST_CASE("half of the gateways killed: the others and the restarted ones know the next change soon")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        settled_fleet fleet{gateways};
        const auto before = fleet.store.usage;
        fleet.restart(0.55, 2s);
        fleet.time.run(500ms);
        fleet.store.put(feed_fleet::config_table, "config", "second");
        CHECK(fleet.time_until_known(feed_fleet::config_table, "config", "second", 5s) <= 1s);
        fleet.time.run(3s);
        REQUIRE(fleet.running() == gateways);
        fleet.store.put(feed_fleet::config_table, "config", "third");
        CHECK(fleet.time_until_known(feed_fleet::config_table, "config", "third", 5s) <= 1s);
        CHECK((fleet.store.usage - before).refused == 0);
        CHECK_FALSE(fleet.went_back());
    }
}

TEST_CASE("a change gets past silent gateways within little more than one call's timeout")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        settled_fleet fleet{gateways};
        fleet.freeze(0.17);
        fleet.store.put(feed_fleet::config_table, "config", "second");
        CHECK(fleet.time_until_known(feed_fleet::config_table, "config", "second", 10s) <= 2s);
        fleet.store.put(feed_fleet::config_table, "config", "third");
        CHECK(fleet.time_until_known(feed_fleet::config_table, "config", "third", 10s) <= 2s);
        CHECK_FALSE(fleet.went_back());
    }
}

// Load pattern: the store is away for all, and all gateways try to reach it.
TEST_CASE("while the store is away its calls are bounded for all gateways together, and changes pass at once")
{
    for (const auto gateways : fleet_sizes)
    {
        CAPTURE(gateways);
        settled_fleet fleet{gateways};
        const auto before = fleet.store.usage;
        fleet.set_store_mode(store_mode::refusing);
        fleet.time.run(10s);
        const auto used = fleet.store.usage - before;
        // Roots retry every 0.3 s; the others share 500 calls per second and table; entries are refreshed.
        CHECK(used.reads <=
              10 * (roots * tables * 5 + std::min<std::size_t>(gateways, 500) * tables) + gateways * 5);
        fleet.set_store_mode(store_mode::available);
        fleet.store.put(feed_fleet::config_table, "config", "second");
        CHECK(fleet.time_until_known(feed_fleet::config_table, "config", "second", 5s) <= 700ms);
        fleet.time.run(3s);
        CHECK((fleet.store.usage - before).refused == 0);
    }
}

TEST_CASE("all gateways look for a way to the store within two seconds after it went away for all")
{
    for (const auto mode : {store_mode::refusing, store_mode::unresponsive})
    {
        settled_fleet fleet{fleet_sizes[1]};
        CHECK(fleet.path_checks() == 0);
        fleet.set_store_mode(mode);
        fleet.time.run(2s);
        // The roots notice by their own calls.
        CHECK(fleet.path_checks() >= fleet_sizes[1] - roots);
    }
}

// Load pattern: the store turns a third of the gateways away, roots among them, and serves the others. If
// those that follow such a root took the store for away, they would keep targets that have left.
TEST_CASE("a gateway that reaches the store does not take it for away because its source is turned away")
{
    settled_fleet fleet{fleet_sizes[1]};
    fleet.turn_away(0.33);
    for (int second = 0; second < 10; ++second)
    {
        fleet.time.run(1s);
        CHECK(fleet.shortest_time_since_failure() > 5s);
    }
}

// Reads of rows cached by a partition's collector, with and without a reachable store.
#include "masticcourse/gateway/collected_rows.hpp"
#include "masticcourse/gateway/commit_router.hpp"
#include "masticcourse/gateway/partition.hpp"
#include "masticcourse/gateway/program_spending.hpp"
#include "masticcourse/gateway/turn_store.hpp"

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t cache_bytes = 1'000'000;
constexpr std::size_t row_bytes = 500;

/// Three connected gateways, each with its own connection to the same rows.
struct peer_read_world
{
    struct member
    {
        member(peer_read_world& world, const std::string& address)
            : peers({address, 1}, derive_seed(test_seed(), address)), store(world.rows, world.time.delays()),
              local_commits(store, world.time.delays(), world.time.clock(),
                            derive_seed(test_seed(), address)),
              commits(
                  local_commits, store, peers,
                  [&world](const auto& to, const auto& bytes, const auto& on_reply)
                  { world.collect(to, bytes, on_reply); },
                  world.time.delays(), world.time.clock()),
              shared_rows(
                  store, local_commits.cached_rows(), peers,
                  [&world](const auto& to, const auto& bytes, const auto& on_rows)
                  { world.query_rows(to, bytes, on_rows); },
                  world.time.clock()),
              turns(shared_rows, commits, cache_bytes, row_bytes),
              spending(shared_rows, commits, turns, world.time.delays(), world.time.clock())
        {
        }

        peer_directory peers;
        memory_store store;
        commit_queue local_commits;
        commit_router commits;
        collected_rows shared_rows;
        turn_store turns;
        program_spending spending;
    };

    peer_read_world()
    {
        const std::vector<peer> all{{"0", 1}, {"1", 1}, {"2", 1}};
        for (std::size_t n = 0; n < members.size(); ++n)
        {
            members[n] = std::make_unique<member>(*this, all[n].address);
            members[n]->peers.set(all);
        }
    }

    void collect(const std::string& to, const std::string& bytes, const collector_callback& on_reply)
    {
        time.delays()(1ms, [this, to, bytes, on_reply]
                      { members[std::stoul(to)]->commits.collect(bytes, on_reply); });
    }

    void query_rows(const std::string& to, const std::string& bytes, const peer_callback& on_rows)
    {
        const auto answer = [this, to, bytes, on_rows]
        { on_rows(unresponsive ? std::nullopt : members[std::stoul(to)]->shared_rows.read_cached(bytes)); };
        time.delays()(1ms, answer);
    }

    void set_store_mode(store_mode mode)
    {
        for (auto& it : members)
        {
            it->store.mode = mode;
            it->store.reported_reachable = mode == store_mode::available;
        }
    }

    reservation_outcome reserve(std::size_t at, const std::string& request, token_count tokens, bool first)
    {
        std::optional<reservation_outcome> outcome;
        members[at]->spending.reserve({.program = {"p"},
                                       .request = {request},
                                       .tokens = tokens,
                                       .budget = 1'000,
                                       .first_turn = first,
                                       .expires = time.now() + 1s},
                                      [&outcome](reservation_outcome it) { outcome = it; });
        time.run(1'500ms);
        REQUIRE(outcome);
        return *outcome;
    }

    bool save(std::size_t at, const std::string& id, std::vector<request_id> ancestors,
              const std::string& input)
    {
        bool saved = false;
        members[at]->turns.save({id}, {std::move(ancestors), input, "out\n"}, time.now() + 1s,
                                [&saved](bool it) { saved = it; });
        time.run(1s);
        return saved;
    }

    turn_chain load(std::size_t at, const std::string& id)
    {
        std::optional<turn_chain> loaded;
        members[at]->turns.load_chain({id}, [&loaded](turn_chain it) { loaded = std::move(it); });
        time.run(1s);
        REQUIRE(loaded);
        return *std::move(loaded);
    }

    [[nodiscard]] std::size_t queries() const
    {
        std::size_t n = 0;
        for (const auto& it : members)
        {
            n += it->store.queries;
        }
        return n;
    }

    virtual_time time;
    row_table rows;
    std::array<std::unique_ptr<member>, 3> members;
    bool unresponsive = false;
};

} // namespace

TEST_CASE("the row cache returns the newest versions, also by key range, and stays within its capacity")
{
    row_cache cache{1'000};
    cache.put({{"t", "a"}, "new", 7});
    cache.put({{"t", "a"}, "old", 3});
    REQUIRE(cache.find({"t", "a"}) != nullptr);
    CHECK(cache.find({"t", "a"})->value == "new");
    cache.put({{"t", "a~1"}, "more", 8});
    cache.put({{"u", "a"}, "elsewhere", 9});
    CHECK(cache.range("t", "a", "a~~").size() == 2);
    CHECK(cache.range("t", "b", "c").empty());
    for (int n = 0; n < 100; ++n)
    {
        cache.put({{"t", "k" + std::to_string(n)}, "v", 10});
        CHECK(cache.bytes() <= 1'000);
    }
    CHECK(cache.find({"t", "a"}) == nullptr);
    CHECK(cache.find({"t", "k99"}) != nullptr);
}

// Load pattern: during a global store outage, retries of callers reach gateways that have not served their
// program before.
TEST_CASE("while the store is unreachable, a gateway continues a program that only others have served")
{
    peer_read_world world;
    REQUIRE(world.save(0, "a", {}, "in a;"));
    REQUIRE(world.save(0, "b", {{"a"}}, "in b;"));
    REQUIRE(world.reserve(0, "b", 100, true) == reservation_outcome::granted);
    for (const auto mode : {store_mode::refusing, store_mode::unresponsive})
    {
        world.set_store_mode(mode);
        // Each gateway has asked the others to relay calls to the store, without success.
        for (auto& it : world.members)
        {
            for (const auto* const asked : {"0", "1", "2"})
            {
                it->peers.mark_store_unreachable(asked, world.time.now());
            }
        }
        for (std::size_t at = 1; at < 3; ++at)
        {
            auto& spending = world.members[at]->spending;
            bool ended = false;
            spending.look_up({"p"}, [&ended] { ended = true; });
            world.time.run(100ms);
            CHECK(ended);
            CHECK_FALSE(spending.is_unknown({"p"}));
            CHECK(
                spending.has_headroom({.program = {"p"}, .request = {"c"}, .tokens = 100, .budget = 1'000}));
            const auto chain = world.load(at, "b");
            CHECK(chain.outcome == turn_outcome::found);
            CHECK(chain.prompt == "in a;out\nin b;out\n");
        }
        const auto unknown = world.load(1, "never");
        CHECK(unknown.outcome == turn_outcome::unavailable);
    }
}

TEST_CASE("rows cached by the collector are not read from the store, and all others are")
{
    peer_read_world world;
    REQUIRE(world.save(0, "a", {}, "in a;"));
    const auto before = world.queries();
    CHECK(world.load(1, "a").outcome == turn_outcome::found);
    CHECK(world.queries() == before);
    CHECK(world.load(1, "never").outcome == turn_outcome::missing);
    CHECK(world.queries() == before + 1);
    world.unresponsive = true;
    CHECK(world.load(2, "a").outcome == turn_outcome::found);
    CHECK(world.queries() >= before + 1);
}

// Regression test for a failure found by the fault soak: a turn that a collector had evicted, or had written
// before its restart, was reported as missing if the collector had cached a turn whose id has the first id as
// a prefix.
TEST_CASE("a turn is read from the store if only turns with its id as a prefix are cached")
{
    peer_read_world world;
    std::string other;
    for (int n = 0; other.empty() || partition_of(other) != partition_of("a"); ++n)
    {
        other = "a" + std::to_string(n);
    }
    REQUIRE(world.save(0, other, {}, "in other;"));
    const auto pieces = encode_turn({{}, "in a;", "out a\n"}, row_bytes);
    std::ignore =
        world.rows.apply({.partition = partition_of("a"), .puts = {{{"turns", "a"}, pieces.front()}}});
    const auto chain = world.load(1, "a");
    CHECK(chain.outcome == turn_outcome::found);
    CHECK(chain.prompt == "in a;out a\n");
}

// Load pattern: VMs that become slow. A collector that is slow to reply to reads still writes commits in
// time. If the gateways that query it excluded it, they would all write directly to the store.
TEST_CASE("a collector that does not reply to reads remains the collector")
{
    peer_read_world world;
    world.unresponsive = true;
    for (auto& it : world.members)
    {
        const auto collector = [&]
        { return it->peers.collector_of(partition_of("never"), world.time.now()); };
        const auto before = collector();
        it->turns.load_chain({"never"},
                             [](const turn_chain& chain) { CHECK(chain.outcome == turn_outcome::missing); });
        world.time.run(100ms);
        CHECK(collector() == before);
    }
}

TEST_CASE("a turn of several rows is read completely")
{
    peer_read_world world;
    REQUIRE(world.save(0, "large", {}, std::string(3 * row_bytes, 'x')));
    const auto chain = world.load(1, "large");
    CHECK(chain.outcome == turn_outcome::found);
    CHECK(chain.prompt.size() == 3 * row_bytes + 4);
}

TEST_CASE("a refusal for the budget is based on the stored row, never on a cached one")
{
    peer_read_world world;
    REQUIRE(world.reserve(0, "one", 900, true) == reservation_outcome::granted);
    // Another gateway settles, conditional on the row's version, and bypasses the collector.
    const auto row = world.rows.read({.table = "spending", .partition = partition_of("p")}).rows.at(0);
    REQUIRE(world.rows
                .apply({.partition = partition_of("p"),
                        .conditions = {{row.name, row.version}},
                        .puts = {{row.name, encode(spending_row{.spent = 10})}}})
                .outcome == store_outcome::done);
    CHECK(world.reserve(1, "two", 900, false) == reservation_outcome::granted);
    CHECK(world.reserve(2, "three", 900, false) == reservation_outcome::over_budget);
}

TEST_CASE("queries and rows round-trip, and malformed ones are rejected")
{
    const row_query query{.table = "t", .partition = "p1", .from = "a", .to = "a~~"};
    const auto read = decode_query(encode_query(query));
    REQUIRE(read);
    CHECK(read->table == "t");
    CHECK(read->partition == "p1");
    CHECK(read->from == "a");
    CHECK(read->to == "a~~");
    CHECK_FALSE(decode_query("no such message"));
    const auto bytes = encode_rows({{{"t", "a"}, std::string("\0\xff", 2), 7}});
    const auto rows = decode_rows(bytes);
    REQUIRE(rows);
    REQUIRE(rows->size() == 1);
    CHECK(rows->at(0).value == std::string("\0\xff", 2));
    CHECK(rows->at(0).version == 7);
    CHECK_FALSE(decode_rows(bytes.substr(0, bytes.size() - 1)));
}

// Group commit: batching, a conflict of one change in a batch, refusals, lost replies and expiry.
#include "masticcourse/gateway/commit_queue.hpp"

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include <doctest/doctest.h>

#include <algorithm>

#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

struct commit_world
{
    virtual_time time;
    row_table rows;
    memory_store store{rows, time.delays()};
    commit_queue commits{store, time.delays(), time.clock(), test_seed()};
    std::vector<change_result> results;

    void put(const std::string& key, std::optional<row_version> expected = std::nullopt,
             milliseconds lifetime = 10s)
    {
        row_change change{.puts = {{{"t", key}, "value of " + key}}, .expires = time.now() + lifetime};
        if (expected)
        {
            change.condition = row_condition{{"t", key}, *expected};
        }
        commits.submit("p", std::move(change), [this](const change_result& it) { results.push_back(it); });
    }

    [[nodiscard]] std::size_t count(store_outcome outcome) const
    {
        return static_cast<std::size_t>(std::ranges::count(results, outcome, &change_result::outcome));
    }
};

} // namespace

TEST_CASE("changes that arrive while two transactions are in flight share the next one")
{
    commit_world world;
    for (int n = 0; n < 50; ++n)
    {
        world.put(std::to_string(n));
    }
    world.time.run(100ms);
    CHECK(world.count(store_outcome::done) == 50);
    CHECK(world.rows.transactions() == 3);
    CHECK(world.commits.pending() == 0);
}

TEST_CASE("a batch never exceeds the store's limit for one transaction")
{
    commit_world world;
    for (int n = 0; n < 400; ++n)
    {
        world.put(std::to_string(n), 0);
    }
    world.time.run(1s);
    CHECK(world.count(store_outcome::done) == 400);
    // A transaction holds 90 entries, a change has two: 45 changes per transaction.
    CHECK(world.rows.transactions() >= 9);
}

TEST_CASE("a failed condition is reported for its own change only, and the rest of the batch is written")
{
    commit_world world;
    world.put("held");
    world.time.run(100ms);
    world.put("first");
    world.put("held", 0);
    world.put("free", 0);
    world.time.run(100ms);
    CHECK(world.count(store_outcome::done) == 3);
    CHECK(world.count(store_outcome::conflict) == 1);
    const auto conflict = std::ranges::find(world.results, store_outcome::conflict, &change_result::outcome);
    REQUIRE(conflict->current);
    CHECK(conflict->current->value == "value of held");
}

TEST_CASE("while the store refuses calls, changes wait, and they are written once it is available again")
{
    commit_world world;
    world.store.mode = store_mode::refusing;
    world.put("a");
    world.time.run(5s);
    CHECK(world.results.empty());
    world.store.mode = store_mode::available;
    world.time.run(250ms);
    CHECK(world.count(store_outcome::done) == 1);
}

TEST_CASE("an expired change fails as unknown, exactly once")
{
    commit_world world;
    world.store.mode = store_mode::unresponsive;
    world.put("a", std::nullopt, 300ms);
    world.time.run(2s);
    CHECK(world.count(store_outcome::unknown) == 1);
    CHECK(world.commits.pending() == 0);
}

TEST_CASE("a lost reply to a conditional change results in a conflict with the change's own value")
{
    commit_world world;
    world.store.mode = store_mode::answers_lost;
    world.put("a", 0);
    world.time.run(50ms);
    world.store.mode = store_mode::available;
    world.time.run(500ms);
    REQUIRE(world.count(store_outcome::conflict) == 1);
    CHECK(world.results.front().current->value == "value of a");
}

TEST_CASE("of several changes to a row with the same condition only one succeeds, even if they wait together")
{
    commit_world world;
    world.put("first");
    world.put("second");
    // All of these wait behind the transactions in flight and would share the next one.
    for (int n = 0; n < 3; ++n)
    {
        world.put("row", 0);
    }
    world.put("row");
    world.put("other", 0);
    world.time.run(1s);
    CHECK(world.count(store_outcome::conflict) == 2);
    CHECK(world.count(store_outcome::done) == 5);
}

TEST_CASE("a condition on a version known to be outdated fails immediately, without a transaction")
{
    commit_world world;
    world.put("row", 0);
    world.time.run(100ms);
    const auto transactions_before = world.rows.transactions();
    world.put("row", 0);
    CHECK(world.count(store_outcome::conflict) == 1);
    CHECK(world.results.back().current->version == 1);
    CHECK(world.rows.transactions() == transactions_before);
    world.put("row", 1);
    world.time.run(100ms);
    CHECK(world.count(store_outcome::done) == 2);
}

TEST_CASE("a change to a row that is being written waits, and does not abort the changes batched with it")
{
    commit_world world;
    world.put("row", 0);
    world.put("row", 0);
    world.put("other", 0);
    world.time.run(100ms);
    CHECK(world.count(store_outcome::done) == 2);
    CHECK(world.count(store_outcome::conflict) == 1);
    // The conflict was detected without a call to the store.
    CHECK(world.rows.transactions() == 2);
}

TEST_CASE("a change that the store never takes fails at once, and holds up no other of its partition")
{
    commit_world world;
    world.store.max_bytes = 1'000;
    std::vector<store_outcome> large;
    const auto put_large = [&](const std::string& key)
    {
        world.commits.submit(
            "p", {.puts = {{{"t", key}, std::string(2'000, 'x')}}, .expires = world.time.now() + 10s},
            [&large](const change_result& it) { large.push_back(it.outcome); });
    };
    for (int n = 0; n < 20; ++n)
    {
        put_large("large" + std::to_string(n));
        world.put(std::to_string(n));
    }
    world.time.run(1s);
    CHECK(large == std::vector<store_outcome>(20, store_outcome::refused));
    CHECK(world.count(store_outcome::done) == 20);
    CHECK(world.commits.pending() == 0);
}

// Budgets enforced by several gateways that share only the store.
#include "support/spending_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

TEST_CASE("spending rows round-trip, and malformed ones are rejected")
{
    const spending_row row{.spent = 12, .reserved = {{{"a"}, 3}, {{"b"}, 4}}, .counted = {{"c"}}};
    const auto read = decode_spending(encode(row));
    REQUIRE(read);
    CHECK(read->accounts_for({"c"}));
    CHECK_FALSE(read->has_reservation({"c"}));
    CHECK(read->committed() == 19);
    CHECK(read->has_reservation({"b"}));
    for (const auto* text :
         {"", "{}", "[1]", R"({"spent":"x","reserved":{}})", R"({"spent":1,"reserved":{"a":"b"}})",
          R"({"spent":1,"reserved":{},"recovered":{}})", R"({"spent":1,"reserved":{},"recovered":[1]})"})
    {
        CHECK_FALSE(decode_spending(text));
    }
}

TEST_CASE("a turn is refused only if the budget does not cover it")
{
    spending_world world{1};
    world.reserve(0, "a", 60, 100, true);
    world.time.run(100ms);
    CHECK(world.has("a", reservation_outcome::granted));
    world.reserve(0, "b", 60, 100);
    world.time.run(100ms);
    CHECK(world.has("b", reservation_outcome::over_budget));
    world.gateways[0]->spending.settle({"p"}, {"a"}, 10);
    world.reserve(0, "c", 60, 100);
    world.time.run(100ms);
    CHECK(world.has("c", reservation_outcome::granted));
}

TEST_CASE("a refusal rests on the current row, not on a cached one")
{
    spending_world world{2};
    world.reserve(0, "a", 60, 100, true);
    world.time.run(100ms);
    world.reserve(1, "b", 60, 100);
    world.time.run(100ms);
    CHECK(world.has("b", reservation_outcome::over_budget));
    // The first gateway settles; the second still caches the full reservation.
    world.gateways[0]->spending.settle({"p"}, {"a"}, 5);
    world.time.run(1s);
    world.reserve(1, "c", 60, 100);
    world.time.run(100ms);
    CHECK(world.has("c", reservation_outcome::granted));
}

TEST_CASE("a row that the store does not take fails its reservations at once")
{
    spending_world world{1};
    world.gateways[0]->store.max_bytes = 20;
    world.reserve(0, "a", 10, 100, true);
    world.time.run(100ms);
    CHECK(world.has("a", reservation_outcome::unavailable));
    world.gateways[0]->store.max_bytes = 10'000;
    world.reserve(0, "b", 10, 100, true);
    world.time.run(1s);
    CHECK(world.has("b", reservation_outcome::granted));
    CHECK(world.row()->committed() == 10);
}

TEST_CASE("a program has a bounded number of turns under way, so that its row can be stored")
{
    constexpr std::size_t row_limit = 65'536;
    constexpr int turns = 600;
    spending_world world{1};
    world.gateways[0]->store.max_bytes = row_limit;
    const auto id = [](int n) { return std::string(96, 'x') + std::to_string(n); };
    for (int n = 0; n < turns; ++n)
    {
        world.reserve(0, id(n), 1, 1'000'000, n == 0);
    }
    world.time.run(1s);
    const auto count = [&](reservation_outcome outcome)
    { return std::ranges::count(world.outcomes, outcome, [](const auto& it) { return it.second; }); };
    CHECK(count(reservation_outcome::granted) == 256);
    CHECK(count(reservation_outcome::unavailable) == turns - 256);
    CHECK(world.row()->committed() == 256);
    world.gateways[0]->spending.settle({"p"}, {id(0)}, 1, settlement_timing::immediate);
    world.time.run(1s);
    world.reserve(0, "further", 1, 1'000'000);
    world.time.run(1s);
    CHECK(world.has("further", reservation_outcome::granted));
}

TEST_CASE("a finished turn is settled soon, even if no other turn follows")
{
    spending_world world{2};
    world.reserve(0, "a", 60, 100, true);
    world.time.run(100ms);
    world.gateways[0]->spending.settle({"p"}, {"a"}, 5);
    // Within the second in which the platform still counts the turn at its maximum.
    world.time.run(900ms);
    world.reserve(1, "b", 90, 100);
    world.time.run(100ms);
    CHECK(world.has("b", reservation_outcome::granted));
}

TEST_CASE("a reservation whose reply was lost is granted and counted once")
{
    spending_world world{1};
    world.gateways[0]->store.mode = store_mode::answers_lost;
    world.reserve(0, "a", 60, 100, true);
    world.time.run(50ms);
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(1s);
    CHECK(world.has("a", reservation_outcome::granted));
    world.reserve(0, "b", 40, 100);
    world.time.run(100ms);
    CHECK(world.has("b", reservation_outcome::granted));
}

// Load pattern: several concurrent turns of a program during an outage. A lost settlement leaves its tokens
// reserved, so later turns of the program are refused although its budget covers them.
TEST_CASE("a turn that ends while another reservation fails to be written is settled once the store is back")
{
    spending_world world{1};
    world.reserve(0, "a", 60, 100, true);
    world.time.run(100ms);
    world.gateways[0]->store.mode = store_mode::unresponsive;
    world.reserve(0, "b", 30, 100, false, 500ms);
    world.time.run(100ms);
    world.gateways[0]->spending.settle({"p"}, {"a"}, 5);
    world.time.run(900ms);
    CHECK(world.has("b", reservation_outcome::unavailable));
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(1s);
    world.reserve(0, "c", 95, 100);
    world.time.run(200ms);
    CHECK(world.has("c", reservation_outcome::granted));
}

// Guards against programs that stay short of tokens after an outage longer than one write is retried.
TEST_CASE("a turn that ends in a long outage is settled once the store is back")
{
    spending_world world{1};
    world.reserve(0, "a", 60, 100, true);
    world.time.run(100ms);
    world.gateways[0]->store.mode = store_mode::unresponsive;
    world.gateways[0]->spending.settle({"p"}, {"a"}, 5);
    world.time.run(45s);
    CHECK(world.gateways[0]->commits.pending() + world.gateways[0]->spending.unwritten() == 1);
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(1s);
    REQUIRE(world.row());
    CHECK(world.row()->reserved.empty());
    CHECK(world.row()->spent == 5);
    CHECK(world.gateways[0]->commits.pending() + world.gateways[0]->spending.unwritten() == 0);
}

TEST_CASE("while the store is unreachable nothing is granted, and reservations expire")
{
    spending_world world{1};
    world.gateways[0]->store.mode = store_mode::unresponsive;
    world.reserve(0, "a", 10, 100, true, 500ms);
    world.time.run(400ms);
    CHECK(world.outcomes.empty());
    world.time.run(600ms);
    CHECK(world.has("a", reservation_outcome::unavailable));
}

TEST_CASE("a reservation cancelled before it was written leaves nothing behind")
{
    spending_world world{1};
    world.reserve(0, "a", 60, 100, true);
    world.reserve(0, "b", 40, 100);
    world.gateways[0]->spending.settle({"p"}, {"b"}, 0);
    world.time.run(1s);
    CHECK(world.outcomes.count("b") == 0);
    world.reserve(0, "c", 40, 100);
    world.time.run(100ms);
    CHECK(world.has("c", reservation_outcome::granted));
}

TEST_CASE("a row that cannot be decoded grants nothing")
{
    spending_world world{1};
    world.reserve(0, "a", 1, 100, true);
    world.time.run(100ms);
    std::ignore = world.rows.apply({.partition = "p0", .puts = {{{"spending", "p"}, "?"}}});
    for (int n = 0; n < 16; ++n)
    {
        std::ignore =
            world.rows.apply({.partition = "p" + std::to_string(n), .puts = {{{"spending", "p"}, "?"}}});
    }
    world.reserve(0, "b", 1, 100);
    world.time.run(200ms);
    CHECK(world.has("b", reservation_outcome::over_budget));
}

// Guards against a turn that is granted after it has been charged: its overdraft beyond the budget is then
// given out again.
TEST_CASE("a turn that ended while its reservation was being written is charged, and not granted any more")
{
    for (int outage_ms = 0; outage_ms < 400; outage_ms += 20)
    {
        for (int period_ms = 2; period_ms < 12; ++period_ms)
        {
            CAPTURE(outage_ms);
            CAPTURE(period_ms);
            spending_world world{2};
            world.reserve(0, "first", 10, 100, true);
            world.reserve(1, "running", 70, 100);
            world.time.run(100ms);
            world.gateways[0]->store.mode = store_mode::unresponsive;
            world.reserve(0, "a", 60, 100);
            world.time.run(20ms);
            world.charge(0, "a", 50, 100);
            world.time.run(milliseconds{outage_ms});
            world.gateways[0]->store.mode = store_mode::available;
            for (int n = 0; n < 60; ++n)
            {
                // Others write the row again and again.
                const auto other = "other" + std::to_string(n);
                world.reserve(1, other, 1, 1'000);
                world.gateways[1]->spending.settle({"p"}, {other}, 0);
                world.time.run(milliseconds{period_ms});
            }
            world.time.run(4s);
            CHECK_FALSE(world.has("a", reservation_outcome::granted));
            REQUIRE(world.excess_tokens.contains("a"));
            // 10 and 70 were reserved before.
            CHECK(world.excess_tokens["a"] >= 30);
            REQUIRE(world.row());
            CHECK_FALSE(world.row()->has_reservation({"a"}));
        }
    }
}

// Guards against two attempts with one id of which only one is accounted for.
TEST_CASE("a turn whose id is still to be written for another attempt is not granted")
{
    spending_world world{1};
    world.reserve(0, "first", 10, 100, true);
    world.time.run(100ms);
    world.charge(0, "a", 50, 100);
    world.reserve(0, "a", 80, 100);
    world.time.run(1s);
    CHECK(world.has("a", reservation_outcome::unavailable));
    REQUIRE(world.row());
    CHECK(world.row()->committed() == 60);
}

// Guards against programs that are refused though budget is left: the reply to a charge is lost, and the turn
// is charged again.
TEST_CASE("a charge whose reply was lost counts once")
{
    spending_world world{1};
    world.reserve(0, "first", 10, 100, true);
    world.time.run(100ms);
    world.gateways[0]->store.mode = store_mode::answers_lost;
    world.charge(0, "a", 50, 100);
    world.time.run(400ms);
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(2s);
    REQUIRE(world.row());
    CHECK(world.row()->spent == 50);
    CHECK(world.excess_tokens["a"] == 0);
}

// Guards against a reservation that nobody ends: its write takes effect after its turn has been given up.
TEST_CASE("a reservation that is written late, after its turn has ended, holds no budget")
{
    spending_world world{2};
    world.reserve(0, "first", 10, 100, true);
    world.time.run(100ms);
    world.gateways[0]->store.mode = store_mode::answers_late;
    world.reserve(0, "a", 60, 100, false, 500ms);
    world.time.run(800ms);
    CHECK(world.has("a", reservation_outcome::unavailable));
    world.gateways[0]->spending.settle({"p"}, {"a"}, 0);
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(10s);
    REQUIRE(world.row());
    CHECK_FALSE(world.row()->has_reservation({"a"}));
}

// Load pattern: a runaway program starts a dozen sub-agents at once on several gateways, while the store
// loses replies, refuses calls or does not answer, and gateways crash with running turns. The tokens granted
// and not settled must never exceed the budget.
TEST_CASE("all gateways together never grant more than the budget, under any fault")
{
    constexpr token_count budget = 900;
    constexpr token_count max_tokens = 280;
    for (unsigned seed = 0; seed < 120; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 random{seed};
        const auto random_below = [&random](unsigned n) { return static_cast<unsigned>(random() % n); };
        spending_world world{3, seed % 2 == 1};
        std::map<std::string, token_count> counted;
        int next_request = 0;
        for (int step = 0; step < 120; ++step)
        {
            const auto at = random_below(3);
            constexpr std::array modes{store_mode::available, store_mode::available, store_mode::refusing,
                                       store_mode::unresponsive, store_mode::answers_lost};
            world.gateways[at]->store.mode = modes.at(random_below(modes.size()));
            if (random_below(40) == 0)
            {
                world.restart(at);
            }
            const auto name = std::to_string(next_request++);
            counted[name] = 0;
            world.reserve(at, name, max_tokens, budget, random_below(4) == 0);
            world.time.run(milliseconds{random_below(150)});
            for (auto& [request, tokens] : counted)
            {
                if (tokens == 0 && world.has(request, reservation_outcome::granted))
                {
                    tokens = max_tokens;
                }
            }
            if (random_below(2) == 0 && world.has(name, reservation_outcome::granted))
            {
                counted[name] = random_below(max_tokens) + 1;
                world.gateways[at]->spending.settle({"p"}, {name}, counted[name]);
            }
            token_count sum = 0;
            std::ranges::for_each(counted, [&sum](const auto& it) { sum += it.second; });
            CHECK(sum <= budget);
        }
    }
}

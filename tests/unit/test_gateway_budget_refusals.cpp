// What a refusal for the budget may rest on: it ends the program for good, so the store must bear it out.
#include "support/spending_world.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

// Guards against programs that are ended because a collector, frozen while others wrote in its place, rejects
// changes on its outdated rows.
TEST_CASE("a turn is not refused because of a row that a collector had cached before others wrote it")
{
    spending_world world{3, true};
    const auto collector = world.collector();
    const auto first = (collector + 1) % 3;
    const auto second = (collector + 2) % 3;
    world.reserve(first, "one", 60, 100, true);
    world.time.run(100ms);
    world.gateways[first]->spending.settle({"p"}, {"one"}, 5);
    world.time.run(1s);
    world.reserve(second, "two", 60, 100);
    world.time.run(100ms);
    REQUIRE(world.has("two", reservation_outcome::granted));
    world.frozen = collector;
    world.gateways[second]->spending.settle({"p"}, {"two"}, 5);
    world.time.run(2s);
    world.frozen.reset();
    world.reserve(first, "three", 60, 100);
    world.time.run(1s);
    CHECK(world.has("three", reservation_outcome::granted));
    // The row in the store bears this refusal out.
    world.reserve(second, "four", 60, 100);
    world.time.run(1s);
    CHECK(world.has("four", reservation_outcome::over_budget));
}

// Guards against programs that are ended by a row that was read before the refused turn arrived: a slow store
// replies long after it has read the row, and turns that arrive meanwhile join the call.
TEST_CASE("a turn is not refused because of a call to the store that began before the turn arrived")
{
    spending_world world{2};
    world.reserve(1, "one", 60, 100, true);
    world.time.run(100ms);
    world.gateways[0]->store.latency = 400ms;
    world.gateways[1]->spending.settle({"p"}, {"one"}, 5);
    // Expects no row, and fails at the store 100 ms before "one" is settled there.
    world.reserve(0, "two", 30, 100, true);
    world.time.run(350ms);
    world.reserve(0, "three", 60, 100);
    world.time.run(2s);
    CHECK(world.has("two", reservation_outcome::granted));
    CHECK(world.has("three", reservation_outcome::granted));
}

TEST_CASE("where a row was read passes between gateways; gateways of earlier versions do not state it")
{
    const stored_row row{.name = {"spending", "p"}, .value = "v", .version = 3};
    for (const auto source : {row_source::cache, row_source::store})
    {
        const auto read = decode_results(
            encode_results({{.outcome = store_outcome::conflict, .current = row, .current_source = source}}));
        REQUIRE(read);
        CHECK(read->at(0).current_source == source);
    }
    const auto conflict = static_cast<int>(store_outcome::conflict);
    const auto earlier = nlohmann::json::to_cbor(nlohmann::json::array({{conflict, 0, nullptr}}));
    const auto read = decode_results({earlier.begin(), earlier.end()});
    REQUIRE(read);
    CHECK(read->at(0).current_source == row_source::cache);
}

// Guards against programs that are ended because the gateway that served a turn was killed, frozen or cut off
// before it had written what the turn cost.
TEST_CASE("a turn that ended whole counts what it cost, whatever became of the gateway that served it")
{
    struct fate
    {
        const char* name;
        bool killed;
        bool collects;
    };
    for (const auto& it :
         {fate{"killed", true, false}, fate{"killed, with collectors", true, true},
          fate{"silent, then it settles too", false, false}, fate{"silent, with collectors", false, true}})
    {
        CAPTURE(it.name);
        spending_world world{3, it.collects};
        world.reserve(0, "one", 60, 100, true);
        world.time.run(100ms);
        world.store_turn(0, "one", 5);
        world.time.run(100ms);
        if (it.killed)
        {
            world.restart(0);
        }
        world.reserve(1, "two", 60, 100);
        world.time.run(200ms);
        CHECK(world.has("two", reservation_outcome::granted));
        world.gateways[0]->spending.settle({"p"}, {"one"}, 5);
        world.time.run(1s);
        REQUIRE(world.row());
        CHECK(world.row()->spent == 5);
        CHECK(world.row()->has_reservation({"two"}));
        world.reserve(2, "three", 60, 100);
        world.time.run(200ms);
        CHECK(world.has("three", reservation_outcome::over_budget));
    }
}

TEST_CASE("a turn that has not ended keeps its reservation")
{
    spending_world world{2};
    world.reserve(0, "running", 60, 100, true);
    world.time.run(100ms);
    world.reserve(1, "two", 60, 100);
    world.time.run(200ms);
    CHECK(world.has("two", reservation_outcome::over_budget));
    REQUIRE(world.row());
    CHECK(world.row()->has_reservation({"running"}));
}

// A refusal for the budget is final, so a turn is not refused on the guess that another one is running.
TEST_CASE("a turn is not refused while it is unknown whether the turns before it have ended")
{
    spending_world world{2};
    world.reserve(0, "one", 60, 100, true);
    world.time.run(100ms);
    std::ignore =
        world.rows.apply({.partition = partition_of("one"), .puts = {{{"turns", "one"}, "damaged"}}});
    world.reserve(1, "two", 60, 100);
    world.time.run(200ms);
    CHECK(world.has("two", reservation_outcome::unavailable));
}

TEST_CASE("a turn settled by another gateway is counted once, also if its own gateway never heard of its "
          "reservation")
{
    spending_world world{2};
    world.gateways[0]->store.mode = store_mode::answers_lost;
    world.reserve(0, "one", 60, 100, true);
    world.time.run(10ms);
    // The turn is stored while its gateway still waits for the reply to the reservation.
    const auto chunks = encode_turn({.input = "in", .output = "out", .tokens = 40}, 10'000);
    std::ignore =
        world.rows.apply({.partition = partition_of("one"), .puts = {{{"turns", "one"}, chunks.at(0)}}});
    world.reserve(1, "two", 60, 100);
    world.time.run(60ms);
    CHECK(world.has("two", reservation_outcome::granted));
    world.gateways[0]->store.mode = store_mode::available;
    world.time.run(1s);
    CHECK(world.has("one", reservation_outcome::granted));
    world.gateways[0]->spending.settle({"p"}, {"one"}, 40);
    world.gateways[1]->spending.settle({"p"}, {"two"}, 10);
    world.time.run(1s);
    REQUIRE(world.row());
    CHECK(world.row()->reserved.empty());
    CHECK(world.row()->spent == 50);
}

// Load pattern: a runaway program whose budget is used up by running turns starts a dozen turns at once.
TEST_CASE("the refusals of a runaway program share their lookups of running turns")
{
    spending_world world{2};
    world.reserve(0, "running", 60, 100, true);
    world.time.run(100ms);
    const auto refuse_dozen = [&world](const std::string& prefix)
    {
        const auto before = world.gateways[1]->store.queries;
        for (int n = 0; n < 12; ++n)
        {
            world.reserve(1, prefix + std::to_string(n), 60, 100);
        }
        world.time.run(200ms);
        CHECK(world.has(prefix + "11", reservation_outcome::over_budget));
        return world.gateways[1]->store.queries - before;
    };
    // At most two reads of the program's row and one of the running turn; soon afterwards, of the row alone.
    CHECK(refuse_dozen("a") <= 3);
    CHECK(refuse_dozen("b") <= 2);
}

TEST_CASE(
    "records of gateways of earlier versions do not tell the tokens of a turn, so it counts at its maximum")
{
    spending_world world{2};
    world.reserve(0, "one", 60, 100, true);
    world.time.run(100ms);
    const auto chunks = encode_turn({.input = "in", .output = "out"}, 10'000);
    std::ignore =
        world.rows.apply({.partition = partition_of("one"), .puts = {{{"turns", "one"}, chunks.at(0)}}});
    world.reserve(1, "two", 60, 100);
    world.time.run(200ms);
    CHECK(world.has("two", reservation_outcome::over_budget));
}

namespace
{

/// A turn as its caller sees it.
struct observed_turn
{
    std::size_t gateway = 0;
    /// Tokens generated, once the target has finished; until then the turn may deliver up to its maximum.
    std::optional<token_count> tokens;
    /// When the caller received the end.
    std::optional<time_point> ended;
    /// Nothing further happens to the turn at its gateway.
    bool over = false;
};

/// One program whose turns arrive at three gateways, which are killed, frozen and cut off from the store at
/// any moment. Checks each refusal against what callers have seen.
class refusal_soak
{
  public:
    explicit refusal_soak(unsigned seed) : m_random(seed), m_world(3, seed % 2 == 1) {}

    void run()
    {
        constexpr int steps = 150;
        for (int step = 0; step < steps; ++step)
        {
            disturb();
            begin_turn();
            m_world.time.run(milliseconds{below(200)});
            end_turns();
            check();
        }
        check_withdrawn();
    }

  private:
    static constexpr token_count budget = 900;
    static constexpr token_count max_tokens = 280;
    static constexpr milliseconds settle_bound{1'000};

    unsigned below(unsigned n)
    {
        return static_cast<unsigned>(m_random() % n);
    }

    void disturb()
    {
        const auto at = below(3);
        constexpr std::array modes{store_mode::available, store_mode::available,    store_mode::available,
                                   store_mode::refusing,  store_mode::unresponsive, store_mode::answers_lost};
        m_world.gateways[at]->store.mode = modes.at(below(modes.size()));
        m_world.frozen = below(3) == 0 ? std::optional<std::size_t>{below(3)} : std::nullopt;
        if (below(6) == 0)
        {
            kill(at);
        }
    }

    void kill(std::size_t at)
    {
        m_world.restart(at);
        for (auto& [name, turn] : m_turns)
        {
            turn.over = turn.over || turn.gateway == at;
        }
        for (const auto& [name, gateway] : m_gateways)
        {
            if (gateway == at && !m_turns.contains(name))
            {
                m_stranded.insert(name);
            }
        }
    }

    void begin_turn()
    {
        const auto at = below(3);
        const auto name = "r" + std::to_string(m_next++);
        m_requested[name] = m_world.time.now();
        m_gateways[name] = at;
        m_world.reserve(at, name, max_tokens, budget, below(4) == 0);
    }

    void end_turns()
    {
        for (const auto& [name, outcome] : m_world.outcomes)
        {
            if (outcome == reservation_outcome::granted)
            {
                m_turns.try_emplace(name, observed_turn{.gateway = m_gateways.at(name)});
            }
            else if (outcome == reservation_outcome::unavailable && m_given_up.insert(name).second)
            {
                m_world.gateways[m_gateways.at(name)]->spending.settle({"p"}, {name}, 0,
                                                                       settlement_timing::immediate);
            }
        }
        for (auto& [name, turn] : m_turns)
        {
            if (!turn.over && below(2) == 0)
            {
                end(name, turn);
            }
        }
    }

    void end(const std::string& name, observed_turn& turn)
    {
        turn.over = true;
        const auto tokens = static_cast<token_count>(below(max_tokens)) + 1;
        turn.tokens = tokens;
        auto& member = *m_world.gateways[turn.gateway];
        // The end is sent to the caller once the turn is stored, and the settlement queued in the same
        // moment.
        member.turns.save({name}, {.input = "in", .output = "out", .tokens = tokens}, m_world.time.now() + 3s,
                          [this, name, tokens, &turn, &member](bool stored)
                          {
                              if (stored && m_world.gateways[turn.gateway].get() == &member)
                              {
                                  turn.ended = m_world.time.now();
                                  member.spending.settle({"p"}, {name}, tokens);
                              }
                          });
    }

    void check()
    {
        token_count delivered = 0;
        std::ranges::for_each(m_turns,
                              [&](const auto& it) { delivered += it.second.tokens.value_or(max_tokens); });
        CHECK(delivered <= budget);
        for (auto it = m_requested.begin(); it != m_requested.end();)
        {
            const auto outcome = m_world.outcomes.find(it->first);
            if (outcome == m_world.outcomes.end())
            {
                ++it;
                continue;
            }
            if (outcome->second == reservation_outcome::over_budget)
            {
                CAPTURE(it->first);
                CHECK(known_use(it->second) + max_tokens > budget);
                ++refusals;
            }
            it = m_requested.erase(it);
        }
    }

    /// Once all can write again, reservations of turns that were given up are withdrawn.
    void check_withdrawn()
    {
        m_world.frozen.reset();
        std::ranges::for_each(m_world.gateways, [](auto& it) { it->store.mode = store_mode::available; });
        m_world.time.run(5s);
        end_turns();
        m_world.time.run(5s);
        for (const auto& it : m_world.row().value_or(spending_row{}).reserved)
        {
            const auto& name = it.request.value;
            CAPTURE(name);
            CHECK((m_turns.contains(name) || m_stranded.contains(name)));
        }
    }

    /// @return the tokens in use, with each turn at its maximum that had not ended by the bound before @a
    /// when
    [[nodiscard]] token_count known_use(time_point when) const
    {
        token_count sum = 0;
        for (const auto& [name, turn] : m_turns)
        {
            sum += turn.ended && *turn.ended + settle_bound <= when ? *turn.tokens : max_tokens;
        }
        const auto row = m_world.row().value_or(spending_row{});
        for (const auto& it : row.reserved)
        {
            // The turn waits for its reservation, or its gateway could not withdraw it yet.
            sum += m_turns.contains(it.request.value) ? 0 : it.tokens;
        }
        return sum;
    }

    std::mt19937 m_random;
    spending_world m_world;
    std::map<std::string, observed_turn> m_turns;
    std::map<std::string, time_point> m_requested;
    std::map<std::string, std::size_t> m_gateways;
    std::set<std::string> m_given_up;
    /// Turns whose gateway was killed before their reservation was granted. Nobody can tell whether they have
    /// reached a target, so a reservation that was written stays.
    std::set<std::string> m_stranded;
    int m_next = 0;

  public:
    int refusals = 0;
};

} // namespace

// Both directions at once: no token beyond the budget is granted, and no turn is refused that the budget
// covers.
TEST_CASE("a refusal is true at any moment at which gateways are killed, frozen or cut off from the store")
{
    int refusals = 0;
    const auto first_seed = static_cast<unsigned>(test_seed().value);
    for (unsigned seed = first_seed; seed < first_seed + 150; ++seed)
    {
        CAPTURE(seed);
        refusal_soak soak{seed};
        soak.run();
        refusals += soak.refusals;
    }
    CHECK(refusals > 1'000);
}

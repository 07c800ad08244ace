// Stored turns: loading chains by id, their order, and the distinction between missing and unavailable turns.
#include "masticcourse/gateway/turn_store.hpp"

#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t cache_bytes = 1'000'000;
constexpr std::size_t row_bytes = 200;

struct turn_world
{
    virtual_time time;
    row_table rows;
    memory_store store{rows, time.delays()};
    commit_queue commits{store, time.delays(), time.clock(), test_seed()};
    turn_store writer{store, commits, cache_bytes, row_bytes};
    turn_store reader{store, commits, cache_bytes, row_bytes};

    bool save(const std::string& id, std::vector<request_id> ancestors, const std::string& input,
              const std::string& output)
    {
        bool saved = false;
        writer.save({id}, {std::move(ancestors), input, output}, time.now() + 1s,
                    [&saved](bool it) { saved = it; });
        time.run(2s);
        return saved;
    }

    turn_chain load(turn_store& from, const std::string& id)
    {
        std::optional<turn_chain> loaded;
        from.load_chain({id}, [&loaded](turn_chain it) { loaded = std::move(it); });
        time.run(2s);
        REQUIRE(loaded);
        return *std::move(loaded);
    }
};

} // namespace

TEST_CASE("any gateway can load a chain by the id of its last turn, byte for byte")
{
    turn_world world;
    using namespace std::string_literals;
    const auto binary_text = "line\r\n\0\xff\x80 "s;
    REQUIRE(world.save("a", {}, "in a;", "out a\n"));
    REQUIRE(world.save("b", {{"a"}}, binary_text, std::string(1'000, 'x') + "\n"));
    REQUIRE(world.save("c", {{"a"}, {"b"}}, "in c;", ""));
    const auto expected = "in a;out a\n" + binary_text + std::string(1'000, 'x') + "\nin c;";
    for (auto* const from : {&world.writer, &world.reader})
    {
        const auto chain = world.load(*from, "c");
        CHECK(chain.outcome == turn_outcome::found);
        CHECK(chain.prompt == expected);
        CHECK(chain.turns == std::vector<request_id>{{"a"}, {"b"}, {"c"}});
    }
    // The reader needs a query for each row, six of which are those of "b", and none when it loads the chain
    // again.
    CHECK(world.store.queries == 8);
    std::ignore = world.load(world.reader, "c");
    CHECK(world.store.queries == 8);
}

TEST_CASE("a turn that does not exist is missing; one that cannot be queried is unavailable")
{
    turn_world world;
    REQUIRE(world.save("ab", {}, "in", "out\n"));
    // A prefix or an extension of an id denotes another turn.
    CHECK(world.load(world.reader, "a").outcome == turn_outcome::missing);
    CHECK(world.load(world.reader, "abc").outcome == turn_outcome::missing);
    world.store.mode = store_mode::refusing;
    CHECK(world.load(world.reader, "ab").outcome == turn_outcome::unavailable);
    world.store.mode = store_mode::available;
    CHECK(world.load(world.reader, "ab").outcome == turn_outcome::found);
}

TEST_CASE("a turn is read by its own rows, however many ids begin with its id")
{
    turn_world world;
    constexpr int others = 50;
    for (int n = 0; n < others; ++n)
    {
        REQUIRE(world.save("a" + std::to_string(n), {}, "in", "out\n"));
    }
    REQUIRE(world.save("a", {}, std::string(3 * row_bytes, 'x'), "out\n"));
    const auto rows_before = world.rows.rows_read();
    CHECK(world.load(world.reader, "a").prompt.size() == 3 * row_bytes + 4);
    CHECK(world.rows.rows_read() - rows_before == 4);
    CHECK(world.load(world.reader, "b").outcome == turn_outcome::missing);
    CHECK(world.rows.rows_read() - rows_before == 4);
}

TEST_CASE("a turn whose last row is full is read whole")
{
    turn_world world;
    for (const std::size_t size : {row_bytes, 2 * row_bytes, 3 * row_bytes})
    {
        CAPTURE(size);
        const auto id = "t" + std::to_string(size);
        const auto overhead = encode_turn({{}, std::string(size, 'x'), ""}, 10'000).front().size() - size;
        const std::string input(size - overhead, 'x');
        REQUIRE(encode_turn({{}, input, ""}, 10'000).front().size() == size);
        REQUIRE(world.save(id, {}, input, ""));
        CHECK(world.load(world.reader, id).prompt == input);
    }
}

namespace
{

/// A chain of turns "0", "1", ... in a store that a reader with an account of memory reads.
struct history_world : turn_world
{
    static constexpr int turns = 200;
    static constexpr std::size_t input_size = 100;

    memory_account_ptr account = std::make_shared<memory_account>(memory_account::unlimited);
    static constexpr std::size_t large_row = 10'000;
    turn_store limited{store, commits, 0, large_row, account};

    std::vector<request_id> ids;

    history_world()
    {
        for (int n = 0; n < turns; ++n)
        {
            const auto id = std::to_string(n);
            bool saved = false;
            limited.save({id},
                         {.ancestors = ids,
                          .input = std::string(input_size, 'x'),
                          .history_size = ids.size() * input_size},
                         time.now() + 1s, [&saved](bool it) { saved = it; });
            time.run(2s);
            REQUIRE(saved);
            ids.push_back({id});
        }
    }

    /// @return how many of @a count loads at once of the whole chain ended with each outcome
    std::map<turn_outcome, int> load_at_once(int count)
    {
        std::map<turn_outcome, int> outcomes;
        std::vector<turn_chain> chains;
        for (int n = 0; n < count; ++n)
        {
            limited.load_chain(
                {std::to_string(turns - 1)},
                [&](turn_chain it)
                {
                    ++outcomes[it.outcome];
                    CHECK((it.outcome != turn_outcome::found || it.prompt.size() == turns * input_size));
                    chains.push_back(std::move(it));
                });
        }
        time.run(30s);
        return outcomes;
    }
};

} // namespace

TEST_CASE("a turn is read once for all that wait for it, and few turns at a time")
{
    history_world world;
    const auto queries_before = world.store.queries;
    CHECK(world.load_at_once(50) == std::map<turn_outcome, int>{{turn_outcome::found, 50}});
    CHECK(world.store.queries - queries_before < 2 * 2 * history_world::turns);
    CHECK(world.store.most_outstanding <= 64);
}

TEST_CASE("any number of turns that wait are read one after another once the store answers at once")
{
    turn_world world;
    constexpr int turns = 100'000;
    int missing = 0;
    for (int n = 0; n < turns; ++n)
    {
        world.reader.load_chain({std::to_string(n)}, [&missing](const turn_chain& it)
                                { missing += it.outcome == turn_outcome::missing ? 1 : 0; });
    }
    world.store.answers_at_once = true;
    world.time.run(1s);
    CHECK(missing == turns);
    CHECK(world.store.most_outstanding <= 64);
}

TEST_CASE("histories without room are given up before they are held, and leave nothing reserved")
{
    history_world world;
    constexpr auto history = history_world::turns * history_world::input_size;
    // Half of the account may be held for turns: two copies of the prompts, four of the ids.
    const auto held = 2 * history + 4 * memory_size(world.ids);
    world.account->set_capacity(std::size_t{2} * 3 * held + held);
    const auto outcomes = world.load_at_once(50);
    CHECK(outcomes.at(turn_outcome::found) == 3);
    CHECK(outcomes.at(turn_outcome::no_memory) == 47);
    CHECK(world.account->held() == 0);
    world.account->set_capacity(2 * history);
    const auto queries_before = world.store.queries;
    CHECK(world.load_at_once(1).at(turn_outcome::no_memory) == 1);
    // The size of the history stands in its last turn.
    CHECK(world.store.queries - queries_before <= 2);
}

TEST_CASE("a history has a bounded number of turns, and their ids are reserved with it")
{
    turn_world world;
    const std::string long_id(90, 'x');
    std::vector<request_id> ancestors(max_history_turns - 1, request_id{long_id});
    constexpr std::size_t large_row = 200'000;
    const auto account = std::make_shared<memory_account>();
    turn_store turns{world.store, world.commits, 0, large_row, account};
    const auto save = [&](const std::string& id, const std::vector<request_id>& before)
    {
        turns.save({id}, {.ancestors = before}, world.time.now() + 1s, [](bool durable) { CHECK(durable); });
        world.time.run(1s);
    };
    save(long_id, {});
    save("last", ancestors);
    CHECK(world.load(turns, "last").turns.size() == max_history_turns);
    account->set_capacity(max_history_turns * long_id.size());
    CHECK(world.load(turns, "last").outcome == turn_outcome::no_memory);
    account->set_capacity(memory_account::unlimited);
    ancestors.push_back({long_id});
    save("further", ancestors);
    CHECK(world.load(turns, "further").outcome == turn_outcome::too_long);
}

TEST_CASE("a turn that is larger than a transaction is stored whole or not at all")
{
    turn_world world;
    constexpr std::size_t store_row = 65'536;
    constexpr std::size_t transaction = 700'000;
    world.store.max_bytes = transaction;
    turn_store turns{world.store, world.commits, 0, store_row};
    const std::string input(4'000'000, 'x');
    std::optional<bool> saved;
    turns.save({"large"}, {{}, input, "out"}, world.time.now() + 5s, [&saved](bool it) { saved = it; });
    // Some of its rows are written, but the first one is not.
    world.time.run(15ms);
    CHECK(world.load(turns, "large").outcome == turn_outcome::missing);
    world.time.run(5s);
    CHECK(saved == true);
    CHECK(world.load(turns, "large").prompt == input + "out");
    world.store.max_bytes = store_row / 2;
    saved.reset();
    turns.save({"other"}, {{}, input, "out"}, world.time.now() + 5s, [&saved](bool it) { saved = it; });
    world.time.run(1s);
    CHECK(saved == false);
    CHECK(world.load(turns, "other").outcome == turn_outcome::missing);
}

TEST_CASE("a turn that was missing when it was asked for is read again for those that ask later")
{
    turn_world world;
    // The store answers from what it held when it was asked.
    world.store.read_at_once = true;
    world.store.latency = 100ms;
    std::optional<turn_outcome> missing;
    world.reader.load_chain({"b"}, [&missing](const turn_chain& it) { missing = it.outcome; });
    world.store.latency = 2ms;
    std::optional<turn_outcome> found;
    world.writer.save({"b"}, {{}, "in", "out\n"}, world.time.now() + 1s,
                      [&](bool durable)
                      {
                          CHECK(durable);
                          world.reader.load_chain({"b"},
                                                  [&found](const turn_chain& it) { found = it.outcome; });
                      });
    world.time.run(2s);
    CHECK(missing == turn_outcome::missing);
    CHECK(found == turn_outcome::found);
}

TEST_CASE("a turn is reported as durable only after the store has confirmed it")
{
    turn_world world;
    world.store.mode = store_mode::unresponsive;
    CHECK_FALSE(world.save("a", {}, "in", "out\n"));
    world.store.mode = store_mode::available;
    CHECK(world.load(world.writer, "a").outcome == turn_outcome::missing);
}

TEST_CASE("turn records round-trip, and malformed ones are rejected")
{
    const turn_record turn{{{"x"}, {"y"}}, "input", std::string(900, 'o')};
    const auto chunks = encode_turn(turn, row_bytes);
    CHECK(chunks.size() > 1);
    CHECK(decode_turn(chunks) == turn);
    const turn_record placed{{}, "input", "output", {"here"}};
    CHECK(decode_turn(encode_turn(placed, row_bytes)) == placed);
    CHECK_FALSE(decode_turn({chunks.front()}));
    CHECK_FALSE(decode_turn({}));
    CHECK_FALSE(decode_turn({"\xa0"}));
}

TEST_CASE("the turn cache is bounded, and evicts the least recently used turns first")
{
    turn_cache cache{3'000};
    const auto make = [] {
        return std::make_shared<const turn_record>(turn_record{{}, std::string(500, 'i'), ""});
    };
    cache.put({"a"}, make());
    cache.put({"b"}, make());
    CHECK(cache.get({"a"}) != nullptr);
    cache.put({"c"}, make());
    cache.put({"d"}, make());
    CHECK(cache.bytes() <= 3'100);
    CHECK(cache.get({"a"}) != nullptr);
    cache.put({"e"}, make());
    CHECK(cache.get({"b"}) == nullptr);
}

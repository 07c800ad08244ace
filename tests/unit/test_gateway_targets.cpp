// Who is there, how busy, how sound; and where a request goes.
#include "masticcourse/gateway/target_choice.hpp"
#include "masticcourse/gateway/target_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1'000s};

target_record make_record(const std::string& id, std::uint32_t slots = 4, const std::string& domain = "here")
{
    return {.id = {id}, .service = {"s"}, .address = "10.0.0.1:1", .domain = {domain}, .slots = slots};
}

target_table make_table(int count)
{
    target_table table;
    for (int n = 0; n < count; ++n)
    {
        table.put(make_record("t" + std::to_string(n)));
    }
    return table;
}

std::string choose(const target_table& table, const choice_query& query, time_point now = start)
{
    const auto candidates = table.candidates({"s"});
    const auto* const chosen = choose_target(candidates, query, now);
    return chosen != nullptr ? chosen->record.id.value : "none";
}

std::vector<std::string> ids(const target_table& table)
{
    std::vector<std::string> found;
    for (const auto* it : table.candidates({"s"}))
    {
        found.push_back(it->record.id.value);
    }
    return found;
}

} // namespace

TEST_CASE("a draining target takes no new requests")
{
    auto table = make_table(2);
    auto leaving = make_record("t0");
    leaving.draining = true;
    CHECK(table.put(leaving));
    CHECK_FALSE(table.put(leaving));
    CHECK(ids(table) == std::vector<std::string>{"t1"});
}

TEST_CASE("an entry that vanishes is gone at once, or after the grace if the store was not steady")
{
    auto table = make_table(2);
    table.remove({"t0"}, start, 0ms);
    table.remove({"t1"}, start, 2s);
    CHECK(table.expire(start).size() == 1);
    CHECK(ids(table) == std::vector<std::string>{"t1"});
    SUBCASE("it comes back in time")
    {
        table.put(make_record("t1"));
        CHECK(table.expire(start + 1h).empty());
        CHECK(ids(table).size() == 1);
    }
    SUBCASE("it does not come back")
    {
        CHECK(table.expire(start + 1'999ms).empty());
        CHECK(table.expire(start + 2s).size() == 1);
        CHECK(ids(table).empty());
    }
    SUBCASE("the store returns later: the grace counts from then")
    {
        table.extend_grace(start + 1s, 2s);
        CHECK(table.expire(start + 2'999ms).empty());
        CHECK(table.expire(start + 3s).size() == 1);
    }
}

TEST_CASE("a whole reading of the registry drops what it does not hold")
{
    auto table = make_table(3);
    table.replace({make_record("t1"), make_record("new")}, start, 0ms);
    table.expire(start);
    CHECK(ids(table) == std::vector<std::string>{"new", "t1"});
}

TEST_CASE("a target that can't be reached is left for others, and tried again")
{
    auto table = make_table(2);
    table.begin({"t0"});
    table.end({"t0"}, target_verdict::unreachable, start);
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        CHECK(choose(table, {.sequence = n}) == "t1");
    }
    std::map<std::string, int> later;
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        ++later[choose(table, {.sequence = n}, start + 5s)];
    }
    CHECK(later.size() == 2);
    table.end({"t1"}, target_verdict::unreachable, start);
    CHECK(choose(table, {}) != "none");
}

TEST_CASE("a target whose answer broke is left for others for a moment, longer each time until one is sound")
{
    auto table = make_table(2);
    const auto pause = [&table]
    {
        table.end({"t0"}, target_verdict::broken, start);
        return table.find({"t0"})->avoided_until - start;
    };
    const auto first = pause();
    CHECK(first > 0ms);
    CHECK(first <= 250ms);
    CHECK(pause() == 2 * first);
    CHECK(pause() == 4 * first);
    table.end({"t0"}, target_verdict::sound, start);
    CHECK(table.find({"t0"})->avoided_until <= start);
    CHECK(pause() == first);
}

TEST_CASE("what others have at a target counts less as the report ages")
{
    auto table = make_table(1);
    table.begin({"t0"});
    table.report({"t0"}, {.running = 4, .waiting = 3, .slots = 4}, start);
    const auto* const row = table.find({"t0"});
    CHECK(row->load(start) == doctest::Approx(7));
    CHECK(row->load(start + 500ms) == doctest::Approx(4));
    CHECK(row->load(start + 10s) == doctest::Approx(1));
}

TEST_CASE("without affinity the least busy target is chosen; the own domain on a tie")
{
    target_table table;
    table.put(make_record("far", 4, "there"));
    table.put(make_record("near", 4, "here"));
    const choice_query query{.own_domain = {"here"}};
    CHECK(choose(table, query) == "near");
    table.begin({"near"});
    CHECK(choose(table, query) == "far");
    const std::vector<target_id> tried{{"far"}, {"near"}};
    CHECK(choose(table, {.tried = tried}) == "none");
}

TEST_CASE("a program stays with its target until another is half a batch less busy")
{
    auto table = make_table(5);
    const choice_query query{.affinity = "program"};
    const auto home = choose(table, query);
    table.begin({home});
    table.begin({home});
    CHECK(choose(table, query) == home);
    table.begin({home});
    const auto other = choose(table, query);
    CHECK(other != home);
    // The same other one each time: its cache serves the next turns too.
    CHECK(choose(table, query) == other);
}

TEST_CASE("when a target joins, only its share of the programs moves")
{
    auto table = make_table(9);
    std::vector<std::string> before;
    constexpr int programs = 500;
    const auto where = [&table](int n)
    {
        const auto key = std::to_string(n);
        return choose(table, {.affinity = key});
    };
    before.reserve(programs);
    for (int n = 0; n < programs; ++n)
    {
        before.push_back(where(n));
    }
    table.put(make_record("t9"));
    int moved = 0;
    for (int n = 0; n < programs; ++n)
    {
        const auto now = where(n);
        CHECK((now == before[static_cast<std::size_t>(n)] || now == "t9"));
        moved += now == "t9" ? 1 : 0;
    }
    CHECK(moved > programs / 20);
    CHECK(moved < programs / 5);
}

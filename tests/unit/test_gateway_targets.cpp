// Tests of the target table (registry entries, load, health) and of target selection.
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

std::string choose(const target_table& table, const selection_criteria& criteria, time_point now = start)
{
    const auto candidates = table.candidates({"s"});
    const auto* const chosen = choose_target(candidates, criteria, now);
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

void begin_many(target_table& table, const std::string& id, int requests)
{
    for (int n = 0; n < requests; ++n)
    {
        table.begin({{id}});
    }
}

/// Creates targets in the failure domains "d0" to "d4", assigned round-robin.
target_table make_multi_domain_table(int count)
{
    target_table table;
    for (int n = 0; n < count; ++n)
    {
        table.put(make_record("t" + std::to_string(n), 6, "d" + std::to_string(n % 5)));
    }
    return table;
}

std::string domain_of(const target_table& table, const std::string& id)
{
    return table.find({id})->record.domain.value;
}

} // namespace

TEST_CASE("a draining target gets no new requests")
{
    auto table = make_table(2);
    auto record = make_record("t0");
    record.draining = true;
    CHECK(table.put(record));
    CHECK_FALSE(table.put(record));
    CHECK(ids(table) == std::vector<std::string>{"t1"});
}

TEST_CASE("an entry that vanishes expires immediately, or after the grace if the store failed recently")
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
    SUBCASE("time in which the registry is unreachable does not count against the grace")
    {
        table.extend_grace(1s);
        CHECK(table.expire(start + 2'999ms).empty());
        CHECK(table.expire(start + 3s).size() == 1);
    }
}

TEST_CASE("a flapping connection to the registry does not keep the entry of a target that has left")
{
    // Guards against a grace that restarts whenever the connection recovers: with eleven outages of the store
    // connection in twelve seconds, each recovery gave all removed entries two more seconds, and a request
    // was sent to a target 3.4 s after it had left.
    auto table = make_table(1);
    table.remove({"t0"}, start, 1'560ms);
    // Each outage extends the grace by its own duration only.
    constexpr auto outage = 10ms;
    auto now = start;
    for (int n = 0; n < 11; ++n)
    {
        now += 100ms;
        table.extend_grace(outage);
    }
    CHECK(table.expire(start + 1'669ms).empty());
    CHECK(table.expire(start + 1'670ms).size() == 1);
}

TEST_CASE("a target that starts again under its id has no old state, and ignores results of its old instance")
{
    auto table = make_table(1);
    auto restarted = make_record("t0");
    restarted.started = wall_time{2ms};
    const target_instance old_instance{{"t0"}};
    table.begin(old_instance);
    table.begin(old_instance);
    table.report(old_instance, {.running = 4, .waiting = 9, .slots = 4}, start);
    table.end(old_instance, health_signal::failed, start);
    CHECK(table.put(restarted));
    const auto* const row = table.find({"t0"});
    CHECK(row->load(start) == doctest::Approx(0));
    CHECK(row->failures == 0);
    CHECK(row->backoff_until <= start);

    table.begin(restarted.instance());
    table.end(old_instance, health_signal::failed, start);
    table.report(old_instance, {.running = 4, .waiting = 9, .slots = 4}, start);
    CHECK(table.find({"t0"})->load(start) == doctest::Approx(1));
    CHECK(table.find({"t0"})->failures == 0);
    SUBCASE("a late entry of the old instance is ignored")
    {
        auto late = make_record("t0");
        late.draining = true;
        CHECK_FALSE(table.put(late));
        CHECK(ids(table) == std::vector<std::string>{"t0"});
        CHECK(table.find({"t0"})->record.started == wall_time{2ms});
    }
    SUBCASE("the grace of the removed entry of the old instance is cancelled")
    {
        table.remove({"t0"}, start, 2s);
        restarted.started = wall_time{3ms};
        table.put(restarted);
        CHECK(table.expire(start + 1h).empty());
    }
}

TEST_CASE("an instance that has ended gets no requests until its entry changes")
{
    auto table = make_table(2);
    const target_instance instance{{"t0"}};
    table.begin(instance);
    table.end(instance, health_signal::replaced, start);
    CHECK(ids(table) == std::vector<std::string>{"t1"});
    // Reading the same entry again changes nothing.
    table.put(make_record("t0"));
    CHECK(ids(table) == std::vector<std::string>{"t1"});
    auto restarted = make_record("t0");
    restarted.started = wall_time{5ms};
    table.put(restarted);
    CHECK(ids(table) == std::vector<std::string>{"t0", "t1"});
}

TEST_CASE("an entry that can't be parsed removes the target of the previous entry")
{
    auto table = make_table(2);
    CHECK(table.withdraw({"t0"}));
    CHECK_FALSE(table.withdraw({"t0"}));
    CHECK(ids(table) == std::vector<std::string>{"t1"});
}

TEST_CASE("a snapshot of the registry removes the targets that it does not contain")
{
    auto table = make_table(3);
    table.put(make_record("new"));
    table.retain({{"t1"}, {"new"}}, start, 0ms);
    table.expire(start);
    CHECK(ids(table) == std::vector<std::string>{"new", "t1"});
}

TEST_CASE("an unreachable target is avoided for a while, then used again")
{
    auto table = make_table(2);
    table.begin({{"t0"}});
    table.end({{"t0"}}, health_signal::unreachable, start);
    std::map<std::string, int> later;
    for (int n = 0; n < 20; ++n)
    {
        const auto chooser = "gateway " + std::to_string(n);
        CHECK(choose(table, {.chooser = chooser}) == "t1");
        ++later[choose(table, {.chooser = chooser}, start + 5s)];
    }
    CHECK(later.size() == 2);
    table.end({{"t1"}}, health_signal::unreachable, start);
    CHECK(choose(table, {}) != "none");
}

TEST_CASE("the backoff after failed answers doubles with each failure and is reset by a correct answer")
{
    auto table = make_table(2);
    const auto fail_once = [&table]
    {
        table.end({{"t0"}}, health_signal::failed, start);
        return table.find({"t0"})->backoff_until - start;
    };
    const auto first = fail_once();
    CHECK(first > 0ms);
    CHECK(first <= 250ms);
    CHECK(fail_once() == 2 * first);
    CHECK(fail_once() == 4 * first);
    table.end({{"t0"}}, health_signal::healthy, start);
    CHECK(table.find({"t0"})->backoff_until <= start);
    CHECK(fail_once() == first);
}

TEST_CASE("the load of other gateways counts less as the report ages")
{
    auto table = make_table(1);
    table.begin({{"t0"}});
    table.report({{"t0"}}, {.running = 4, .waiting = 3, .slots = 4}, start);
    const auto* const row = table.find({"t0"});
    CHECK(row->load(start) == doctest::Approx(7));
    CHECK(row->load(start + 500ms) == doctest::Approx(4));
    CHECK(row->load(start + 10s) == doctest::Approx(1));
}

TEST_CASE("without affinity the least loaded target of the own domain is selected, unless one in another "
          "domain is half a batch less utilized")
{
    struct row
    {
        int near_in_flight;
        int far_in_flight;
        const char* chosen;
    };
    for (const auto& it : {row{0, 0, "near"}, row{1, 0, "near"}, row{3, 0, "far"}, row{5, 4, "near"},
                           row{7, 4, "far"}, row{0, 9, "near"}})
    {
        target_table table;
        table.put(make_record("far", 4, "there"));
        table.put(make_record("near", 4, "here"));
        table.put(make_record("near-busier", 4, "here"));
        constexpr int full = 40;
        begin_many(table, "near", it.near_in_flight);
        begin_many(table, "far", it.far_in_flight);
        begin_many(table, "near-busier", full);
        CAPTURE(it.near_in_flight);
        CAPTURE(it.far_in_flight);
        CHECK(choose(table, {.preferred_domain = {"here"}}) == it.chosen);
    }
    auto table = make_table(2);
    const std::vector<target_id> tried{{"t0"}, {"t1"}};
    CHECK(choose(table, {.tried = tried}) == "none");
}

TEST_CASE("a program keeps its target until another one is a batch less utilized")
{
    auto table = make_table(5);
    const selection_criteria criteria{.affinity = "program"};
    const auto assigned = choose(table, criteria);
    for (int n = 0; n < 4; ++n)
    {
        table.begin({{assigned}});
        CHECK(choose(table, criteria) == assigned);
    }
    table.begin({{assigned}});
    const auto other = choose(table, criteria);
    CHECK(other != assigned);
    // The same alternative each time, so that its cache serves the following turns as well.
    CHECK(choose(table, criteria) == other);
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

// Load pattern: programs and engines in five failure domains. Each gateway needs connections to the engines
// of its own domain only, and programs of a domain whose engines are fully loaded or lost run in other
// domains.
TEST_CASE("programs keep to engines of their own domain, and use those of others if it is busy or lost")
{
    auto table = make_multi_domain_table(50);
    constexpr int programs = 300;
    const auto count_domains = [&table]
    {
        std::map<std::string, int> counts;
        for (int n = 0; n < programs; ++n)
        {
            const auto key = std::to_string(n);
            ++counts[domain_of(table, choose(table, {.affinity = key, .preferred_domain = {"d2"}}))];
        }
        return counts;
    };
    CHECK(count_domains()["d2"] == programs);
    SUBCASE("busy: all its engines hold over a batch more than the least loaded one")
    {
        for (int n = 2; n < 50; n += 5)
        {
            begin_many(table, "t" + std::to_string(n), 7);
        }
    }
    SUBCASE("lost")
    {
        for (int n = 2; n < 50; n += 5)
        {
            table.withdraw({"t" + std::to_string(n)});
        }
    }
    const auto counts = count_domains();
    CHECK(counts.size() == 4);
    CHECK_FALSE(counts.contains("d2"));
    CHECK(std::ranges::all_of(counts, [](const auto& it) { return it.second > programs / 8; }));
}

// Load pattern: many gateways with a request per second each, and as many targets. With requests spread over
// all targets, nearly each one needed a new connection.
TEST_CASE("a gateway uses few targets while its requests hardly overlap, and all gateways together use all")
{
    constexpr int requests = 100;
    for (const int gateways : {25, 100, 400})
    {
        CAPTURE(gateways);
        const auto table = make_multi_domain_table(gateways);
        std::map<std::string, int> load;
        for (int n = 0; n < gateways; ++n)
        {
            const auto chooser = "gateway " + std::to_string(n);
            const auto domain = "d" + std::to_string(n % 5);
            auto own_view = table;
            std::map<std::string, int> used;
            std::vector<std::string> running;
            for (int request = 0; request < requests; ++request)
            {
                const auto chosen = choose(own_view, {.preferred_domain = {domain}, .chooser = chooser});
                ++used[chosen];
                ++load[chosen];
                own_view.begin({{chosen}});
                running.push_back(chosen);
                // Up to three requests run at the same time.
                if (running.size() == 3)
                {
                    own_view.end({{running.front()}}, health_signal::healthy, start);
                    running.erase(running.begin());
                }
            }
            CHECK(used.size() <= 3);
        }
        // Half of the targets at least, none with more than a few times the mean.
        CHECK(load.size() >= static_cast<std::size_t>(gateways) / 2);
        const auto most = std::ranges::max_element(load, {}, [](const auto& it) { return it.second; });
        CHECK(most->second <= 8 * requests);
    }
}

TEST_CASE("if one engine of the own domain is left, programs use it up to the affinity slack only")
{
    auto table = make_multi_domain_table(50);
    for (int n = 7; n < 50; n += 5)
    {
        table.withdraw({"t" + std::to_string(n)});
    }
    int near = 0;
    for (int n = 0; n < 60; ++n)
    {
        const auto key = std::to_string(n);
        const auto chosen = choose(table, {.affinity = key, .preferred_domain = {"d2"}});
        table.begin({{chosen}});
        near += chosen == "t2" ? 1 : 0;
    }
    // One full batch of six and one more request, while the other engines are idle.
    CHECK(near == 7);
}

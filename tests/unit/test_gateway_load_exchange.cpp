// Sharing the load of targets through a collector: messages, sums, cost and age by number of gateways, and
// failures of the collector, of gateways and of messages.
#include "support/load_fleet.hpp"
#include "support/test_seed.hpp"

#include "../../src/gateway/cbor_messages.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr milliseconds lifetime{600};

target_usage usage_of(const std::string& id, std::uint32_t in_flight)
{
    return {.target = {.id = {id}}, .in_flight = in_flight};
}

target_usage with_report(target_usage usage, std::uint32_t running, milliseconds age)
{
    usage.report = aged_load_report{.load = {.running = running, .slots = 6}, .age = age};
    return usage;
}

/// A gateway as the collector sees it, which receives all replies.
struct client
{
    load_collector& collector;
    std::string address;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;

    load_summary send(std::vector<target_usage> targets, time_point now, bool complete = false)
    {
        auto reply = collector.exchange({.sender = address,
                                         .incarnation = "1",
                                         .sequence = ++sequence,
                                         .received_version = version,
                                         .complete = complete || sequence == 1,
                                         .targets = std::move(targets)},
                                        now);
        version = reply.version;
        return reply;
    }
};

struct collector_fixture
{
    load_collector collector{"c1", lifetime};
    client a{collector, "a"};
    client b{collector, "b"};
    time_point now{seconds{1'000}};

    collector_fixture()
    {
        std::ignore = a.send({}, now);
        std::ignore = b.send({}, now);
    }
};

/// A fleet whose views are complete.
struct settled_load_fleet : load_fleet
{
    explicit settled_load_fleet(std::size_t gateways, double requests_per_target = 4.5)
        : load_fleet({.gateways = gateways, .requests_per_target = requests_per_target, .seed = test_seed()})
    {
        // A gateway is not told of outcomes before its first digest, so all of them join first.
        time.run(2 * interval());
        start_requests();
        time.run(5 * interval());
    }

    /// @return whether all views are exact within @a span after requests are paused
    bool settles_within(milliseconds span)
    {
        pause_requests();
        time.run(span);
        return all_views_exact();
    }
};

} // namespace

TEST_CASE("digests and summaries survive encoding")
{
    auto usage = with_report(usage_of("t", 3), 2, 40ms);
    usage.target.started = wall_time{1'700'000'000'123ms};
    usage.successes = 4;
    usage.failures = 5;
    usage.report->load.time_factor = 2.5;
    const load_digest digest{.sender = "a:1",
                             .incarnation = "x",
                             .sequence = 7,
                             .received_version = 1ULL << 40U,
                             .complete = true,
                             .targets = {usage, usage_of("u", 0)},
                             .demand = {{{"s"}, 9}}};
    CHECK(decode_load_digest(encode(digest)) == digest);
    const load_summary summary{.collector_incarnation = "c",
                               .gateways = 26,
                               .needs_complete = true,
                               .version = 12,
                               .complete = true,
                               .targets = {usage},
                               .demand = {{{"s"}, 9}}};
    CHECK(decode_load_summary(encode(summary)) == summary);
}

TEST_CASE("malformed and oversized messages are rejected as a whole")
{
    const auto target = json::array({"t", 0, 1, 0, 0, nullptr});
    const auto with_target = [](const json& it) {
        return json::array({"a", "x", 1, 0, true, json::array({it}), json::array()});
    };
    const auto with_report = [&](const json& it) { return with_target(json::array({"t", 0, 1, 0, 0, it})); };
    REQUIRE(decode_load_digest(detail::encode_cbor(with_target(target))));
    struct row
    {
        const char* what;
        json document;
    };
    const std::vector<row> rows{
        {"not an array", json::object()},
        {"an element is missing", json::array({"a", "x", 1, 0, true, json::array()})},
        {"negative sequence", json::array({"a", "x", -1, 0, true, json::array(), json::array()})},
        {"sender is a number", json::array({1, "x", 1, 0, true, json::array(), json::array()})},
        {"sender too long",
         json::array({std::string(600, 'a'), "x", 1, 0, true, json::array(), json::array()})},
        {"negative count", with_target(json::array({"t", 0, -1, 0, 0, nullptr}))},
        {"count beyond 32 bits", with_target(json::array({"t", 0, 1ULL << 32U, 0, 0, nullptr}))},
        {"start before the epoch", with_target(json::array({"t", -1, 1, 0, 0, nullptr}))},
        {"report too short", with_report(json::array({1, 1, 6, nullptr}))},
        {"time factor of zero", with_report(json::array({1, 1, 6, 0, 10}))},
        {"negative age", with_report(json::array({1, 1, 6, nullptr, -1}))},
        {"too many targets",
         json::array(
             {"a", "x", 1, 0, true, json(std::vector<json>(max_load_targets + 1, target)), json::array()})},
        {"too many services",
         json::array({"a", "x", 1, 0, true, json::array(),
                      json(std::vector<json>(max_load_services + 1, json::array({"s", 1})))})},
    };
    for (const auto& it : rows)
    {
        CAPTURE(it.what);
        CHECK_FALSE(decode_load_digest(detail::encode_cbor(it.document)));
    }
    CHECK_FALSE(decode_load_digest("no CBOR"));
    CHECK_FALSE(decode_load_summary(""));
}

TEST_CASE_FIXTURE(collector_fixture,
                  "a summary has the sum of the others, once for each change, and zero once")
{
    client c{collector, "c"};
    std::ignore = a.send({usage_of("t", 2)}, now);
    std::ignore = c.send({usage_of("t", 3)}, now);
    CHECK(b.send({usage_of("t", 1)}, now).targets == std::vector{usage_of("t", 5)});
    CHECK(b.send({usage_of("t", 9)}, now).targets.empty());
    CHECK(a.send({usage_of("t", 0)}, now).targets == std::vector{usage_of("t", 12)});
    std::ignore = c.send({usage_of("t", 0)}, now);
    CHECK(b.send({}, now).targets == std::vector{usage_of("t", 0)});
    CHECK(b.send({}, now).targets.empty());
    CHECK(b.send({}, now).gateways == 3);
}

TEST_CASE_FIXTURE(collector_fixture, "outcomes reach each other gateway once, also if a summary is lost")
{
    auto usage = usage_of("t", 0);
    usage.successes = 3;
    usage.failures = 1;
    std::ignore = a.send({usage}, now);
    const auto received = b.version;
    CHECK(b.send({}, now).targets == std::vector{usage});
    b.version = received;
    CHECK(b.send({}, now).targets == std::vector{usage});
    CHECK(b.send({}, now).targets.empty());
    CHECK(a.send({}, now).targets.empty());
    client late{collector, "late"};
    CHECK(late.send({}, now).targets.empty());
}

TEST_CASE_FIXTURE(collector_fixture, "the newest report wins and is not passed on when it is out of date")
{
    std::ignore = a.send({with_report(usage_of("t", 1), 5, 10ms)}, now);
    client c{collector, "c"};
    std::ignore = c.send({with_report(usage_of("t", 1), 2, 200ms)}, now);
    const auto first = b.send({}, now + 50ms);
    REQUIRE(first.targets.size() == 1);
    CHECK(first.targets.front().report == aged_load_report{.load = {.running = 5, .slots = 6}, .age = 60ms});
    for (int n = 0; n < 5; ++n)
    {
        now += 300ms;
        std::ignore = a.send({}, now);
    }
    client d{collector, "d"};
    CHECK(d.send({}, now).targets == std::vector{usage_of("t", 1)});
}

TEST_CASE_FIXTURE(collector_fixture, "a digest that the collector cannot build on is not applied")
{
    client unknown{collector, "unknown", 1};
    CHECK(unknown.send({usage_of("t", 9)}, now).needs_complete);
    std::ignore = a.send({usage_of("t", 1)}, now);
    a.sequence -= 2;
    CHECK(a.send({usage_of("t", 7)}, now).needs_complete);
    CHECK(b.send({}, now).targets == std::vector{usage_of("t", 1)});
    // A restarted gateway begins with a complete digest that replaces what its earlier run sent.
    const load_digest restarted{
        .sender = "a", .incarnation = "2", .sequence = 1, .complete = true, .targets = {usage_of("u", 4)}};
    std::ignore = collector.exchange(restarted, now);
    auto seen = b.send({}, now).targets;
    std::ranges::sort(seen, {}, [](const target_usage& it) { return it.target.id.value; });
    CHECK(seen == std::vector{usage_of("t", 0), usage_of("u", 4)});
}

TEST_CASE_FIXTURE(collector_fixture,
                  "a complete digest replaces the gateway's usage and has a complete reply")
{
    std::ignore = a.send({usage_of("t", 2)}, now);
    std::ignore = b.send({usage_of("t", 5)}, now);
    CHECK(a.send({usage_of("u", 1)}, now, true).targets == std::vector{usage_of("t", 5)});
    CHECK(b.send({}, now, true).targets == std::vector{usage_of("u", 1)});
}

TEST_CASE_FIXTURE(collector_fixture, "demand of others is summed and ends with the gateway")
{
    const auto demand_seen_by_b = [this] { return b.send({}, now).demand; };
    const load_digest digest{
        .sender = "a", .incarnation = "1", .sequence = 9, .demand = {{{"s"}, 4}, {{"s"}, 5}, {{"z"}, 0}}};
    CHECK(collector.exchange(digest, now).demand.empty());
    CHECK(demand_seen_by_b() == std::vector<service_demand>{{{"s"}, 4}});
    now += lifetime / 2;
    CHECK(demand_seen_by_b().size() == 1);
    now += lifetime / 2;
    CHECK(demand_seen_by_b().empty());
}

TEST_CASE_FIXTURE(collector_fixture, "silent gateways expire and unused targets are dropped")
{
    std::ignore = a.send({usage_of("t", 2)}, now);
    std::ignore = b.send({}, now);
    const auto before = b.version;
    for (int n = 0; n < 4; ++n)
    {
        now += 200ms;
        std::ignore = b.send({}, now);
    }
    CHECK(collector.size() == 1);
    now += 1'100ms;
    std::ignore = b.send({}, now, true);
    now += lifetime;
    CHECK(b.send({}, now, true).targets.empty());
    CHECK(collector.target_count() == 0);
    // A gateway that missed the change and the removal gets a summary that replaces its view.
    b.version = before;
    CHECK(b.send({}, now).complete);
}

TEST_CASE("views are young and correct, and the collector's load is bounded, at all sizes")
{
    for (const std::size_t count : {26U, 127U, 625U})
    {
        CAPTURE(count);
        settled_load_fleet fleet{count};
        const auto it = fleet.measure(8 * fleet.interval());
        const auto seconds_per_interval = std::chrono::duration<double>{fleet.interval()}.count();
        constexpr milliseconds round_trip{2};
        CHECK(it.age_p95 <= fleet.interval() * 11 / 10 + round_trip);
        CHECK(it.impossible_sums == 0);
        const auto without_jitter = static_cast<double>(count - 1) / seconds_per_interval;
        CHECK(it.collector_messages <= 500);
        CHECK(it.collector_messages <= 0.98 * without_jitter);
        CHECK(it.collector_messages >= 0.85 * without_jitter);
        CHECK(it.shortest_gap >= fleet.interval());
        // Requests that begin and end within the age of the sums, two intervals at most; beyond the mean
        // duration of a request the states are independent. Two standard deviations.
        const auto churn = std::min(1.0, 2 * seconds_per_interval / 0.5);
        CHECK(it.error_p95 <= std::ceil(2 * std::sqrt(2 * 4.5 * churn)));
        // A digest and a summary of 38 targets with reports, at most 64 bytes each.
        CHECK(it.bytes_per_gateway <= (2 * 38 * 64 + 200) / seconds_per_interval);
    }
}

TEST_CASE("all views are exact two intervals after the last change, and outcomes are counted once")
{
    settled_load_fleet fleet{26};
    fleet.set_waiting(3, 5);
    fleet.set_waiting(4, 6);
    CHECK(fleet.settles_within(fleet.interval() * 5 / 2));
    for (const std::size_t n : {0U, 3U, 25U})
    {
        CHECK(fleet.unseen_successes(n) == 0);
        CHECK(fleet.exchange(n).gateways(fleet.time.now()) == 26);
        CHECK(fleet.exchange(n).others_waiting({"service"}, fleet.time.now()) == (n == 3 ? 6 : 11));
    }
}

TEST_CASE("lost digests and summaries leave no error behind, also at targets that are seldom in use")
{
    settled_load_fleet fleet{26, 0.3};
    std::minstd_rand random{test_seed().value};
    fleet.loses = [&](const std::string&, load_fleet::message_kind) { return random() % 5 == 0; };
    fleet.time.run(20s);
    fleet.loses = nullptr;
    // A gateway that lost many digests in a row does not use the collector for up to 20 s.
    CHECK(fleet.settles_within(25s));
}

TEST_CASE("a change in a lost digest reaches a collector that other messages show to respond")
{
    settled_load_fleet fleet{26};
    fleet.pause_requests();
    const auto collector = fleet.collector();
    const auto victim = collector == 0 ? std::size_t{1} : std::size_t{0};
    fleet.set_in_flight(victim, 0, 1'000);
    fleet.time.run(5 * fleet.interval() / 2);
    REQUIRE(fleet.all_views_exact());
    fleet.set_in_flight(victim, 0, 0);
    bool lost = false;
    fleet.refuses = [&](const std::string& sender)
    { return sender == load_fleet::address_of(victim) && !std::exchange(lost, true); };
    for (milliseconds passed{0}; passed < 6 * fleet.interval(); passed += 1ms)
    {
        fleet.time.run(1ms);
        // The directory is shared with other components, whose messages lift the exclusion.
        fleet.directory(victim).answered(load_fleet::address_of(collector));
    }
    CHECK(lost);
    CHECK(fleet.all_views_exact());
}

TEST_CASE("one lost message costs its gateway three intervals at most, and the others nothing")
{
    for (const auto kind : {load_fleet::message_kind::digest, load_fleet::message_kind::summary})
    {
        settled_load_fleet fleet{26};
        const auto victim = fleet.collector() == 0 ? std::size_t{1} : std::size_t{0};
        bool lost = false;
        fleet.loses = [&](const std::string& sender, load_fleet::message_kind it)
        { return it == kind && sender == load_fleet::address_of(victim) && !std::exchange(lost, true); };
        duration oldest{};
        duration oldest_elsewhere{};
        for (milliseconds passed{0}; passed < 2s; passed += 10ms)
        {
            fleet.time.run(10ms);
            oldest = std::max(oldest, fleet.exchange(victim).age(fleet.time.now()));
            oldest_elsewhere = std::max(oldest_elsewhere, fleet.exchange(25).age(fleet.time.now()));
        }
        CHECK(lost);
        CHECK(oldest <= fleet.interval() * 33 / 10 + 10ms);
        CHECK(oldest_elsewhere <= fleet.interval() * 11 / 10 + 10ms);
        CHECK(fleet.settles_within(6s));
    }
}

TEST_CASE("when the collector fails, views stay fresh and are complete again within a second")
{
    struct row
    {
        const char* what;
        std::size_t gateways;
        bool killed;
    };
    for (const auto& it : {row{"killed", 26, true}, row{"frozen", 26, false}, row{"killed at 127", 127, true},
                           row{"frozen at 127", 127, false}})
    {
        CAPTURE(it.what);
        settled_load_fleet fleet{it.gateways};
        const auto failed = fleet.collector();
        const auto witness = failed == 0 ? std::size_t{1} : std::size_t{0};
        it.killed ? fleet.kill(failed) : fleet.freeze(failed, 10s);
        bool stays_fresh = true;
        for (milliseconds passed{0}; passed < 1s; passed += 10ms)
        {
            fleet.time.run(10ms);
            stays_fresh = stays_fresh && fleet.exchange(witness).fresh(fleet.time.now());
        }
        CHECK(stays_fresh);
        CHECK(fleet.exchange(witness).gateways(fleet.time.now()) == it.gateways - 1);
    }
}

TEST_CASE("a collector that resumes after a freeze leaves no old state in the views")
{
    settled_load_fleet fleet{26, 0.3};
    fleet.freeze(fleet.collector(), 3s);
    fleet.time.run(30s);
    CHECK(fleet.settles_within(6s));
}

TEST_CASE("a collector that pauses for less than a second keeps its gateways")
{
    settled_load_fleet fleet{26};
    const auto collector = fleet.collector();
    fleet.freeze(collector, 700ms);
    fleet.time.run(700ms + 3 * fleet.interval());
    for (std::size_t n = 0; n < 26; ++n)
    {
        CHECK(fleet.exchange(n).gateways(fleet.time.now()) == 26);
    }
    CHECK(fleet.settles_within(fleet.interval() * 5 / 2));
}

TEST_CASE("a collector that is always late is replaced by one that all others agree on")
{
    settled_load_fleet fleet{26};
    const auto late = fleet.collector();
    const auto witness = late == 0 ? std::size_t{1} : std::size_t{0};
    fleet.slow_down(late, 700ms);
    std::size_t complete = 0;
    constexpr std::size_t samples = 2'000;
    for (std::size_t n = 0; n < samples; ++n)
    {
        fleet.time.run(10ms);
        complete += fleet.exchange(witness).gateways(fleet.time.now()) >= 23 ? 1 : 0;
    }
    CHECK(complete >= samples * 8 / 10);
}

TEST_CASE("gateways cut off from the collector use another one, and the rest see each other exactly")
{
    settled_load_fleet fleet{26};
    const auto collector = fleet.collector();
    std::vector<std::size_t> others;
    for (std::size_t n = 0; n < 26; ++n)
    {
        if (n != collector)
        {
            others.push_back(n);
        }
    }
    for (std::size_t n = 0; n < 8; ++n)
    {
        fleet.cut(others[n], collector);
    }
    fleet.time.run(20s);
    const auto now = fleet.time.now();
    for (std::size_t n = 0; n < 8; ++n)
    {
        CHECK(fleet.exchange(others[n]).fresh(now));
        CHECK(fleet.exchange(others[n]).gateways(now) >= 8);
    }
    CHECK(fleet.exchange(others.back()).gateways(now) == 18);
}

TEST_CASE("the requests of a killed gateway leave the collector after three intervals, the views one later")
{
    settled_load_fleet fleet{26};
    fleet.pause_requests();
    const auto victim = fleet.collector() == 0 ? std::size_t{1} : std::size_t{0};
    const auto witness = fleet.collector() == 2 ? std::size_t{3} : std::size_t{2};
    fleet.set_in_flight(victim, 0, 1'000);
    fleet.time.run(5 * fleet.interval() / 2);
    REQUIRE(fleet.viewed(witness, 0) >= 1'000);
    fleet.kill(victim);
    fleet.time.run(fleet.interval() * 42 / 10);
    CHECK(fleet.viewed(witness, 0) < 1'000);
    CHECK(fleet.all_views_exact());
}

TEST_CASE("a malformed digest has no reply and changes nothing")
{
    settled_load_fleet fleet{26};
    CHECK_FALSE(fleet.exchange(fleet.collector()).serve("no digest"));
    CHECK(fleet.settles_within(fleet.interval() * 5 / 2));
}

TEST_CASE("a gateway that is switched off sends nothing, answers others and has no view")
{
    settled_load_fleet fleet{26};
    const auto collector = fleet.collector();
    for (std::size_t n = 0; n < 26; ++n)
    {
        fleet.exchange(n).set_enabled(false);
    }
    const auto before = fleet.messages;
    fleet.time.run(5s);
    CHECK(fleet.messages == before);
    CHECK_FALSE(fleet.exchange(3).fresh(fleet.time.now()));
    CHECK(fleet.exchange(3).gateways(fleet.time.now()) == 1);
    const load_digest digest{.sender = "other", .incarnation = "1", .sequence = 1, .complete = true};
    const auto reply = fleet.exchange(collector).serve(encode(digest));
    REQUIRE(reply);
    CHECK(decode_load_summary(*reply)->gateways == 1);
    for (std::size_t n = 0; n < 26; ++n)
    {
        fleet.exchange(n).set_enabled(true);
    }
    CHECK(fleet.settles_within(fleet.interval() * 4));
}

TEST_CASE("a gateway alone has a view of itself and sends nothing")
{
    settled_load_fleet fleet{1};
    CHECK(fleet.messages == 0);
    CHECK(fleet.exchange(0).fresh(fleet.time.now()));
    CHECK(fleet.exchange(0).gateways(fleet.time.now()) == 1);
    CHECK(fleet.exchange(0).find(load_fleet::target_of(0), fleet.time.now()) == nullptr);
}

TEST_CASE("metrics count digests, failures and bytes and show the view's age and size")
{
    settled_load_fleet fleet{26};
    const auto failed = fleet.collector();
    const auto witness = failed == 0 ? std::size_t{1} : std::size_t{0};
    fleet.kill(failed);
    fleet.time.run(1s);
    auto& metrics = fleet.metrics(witness);
    CHECK(metrics.get_counter("masticcourse_load_digests_total", "").value() >= 9);
    CHECK(metrics.get_counter("masticcourse_load_digests_failed_total", "").value() == 1);
    CHECK(metrics.get_counter("masticcourse_load_digest_bytes_total", "").value() > 500);
    CHECK(metrics.get_histogram("masticcourse_load_view_age_seconds", "").quantile(0.5) >= 180ms);
    CHECK(metrics.get_gauge("masticcourse_load_view_gateways", "").value() == 25);
}

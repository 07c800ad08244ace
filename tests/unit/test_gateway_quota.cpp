// Workspace quotas across gateways: no window exceeds what the rule allows, whatever fails, and little less
// than that is admitted; also which requests are admitted when a workspace floods.
#include "support/forwarding_world.hpp"
#include "support/quota_group.hpp"
#include "support/test_seed.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr quota_rule default_rule{.window = 5s, .overage = 0.1, .slack = 20};

/// Sends @a rate requests per second for @a span, distributed evenly over the gateways in @a at.
void send_load(quota_group& group, const std::vector<std::string>& at, const std::string& workspace,
               double rate, seconds span, admission_kind kind = admission_kind::other)
{
    const auto count = static_cast<std::size_t>(rate * static_cast<double>(span.count()));
    const auto pause = duration{span} / static_cast<duration::rep>(count);
    auto due = group.time.now();
    for (std::size_t n = 0; n < count; ++n)
    {
        group.request(at[n % at.size()], workspace, kind);
        due += pause;
        group.time.run(std::chrono::floor<milliseconds>(due - group.time.now()));
    }
}

/// Number of gateways, and how many of them the callers of a workspace use.
struct ingress
{
    std::size_t gateways;
    std::size_t used;
};

/// Sends far more than the quota allows through all gateways for @a span.
void flood(quota_group& group, const std::string& workspace, milliseconds span, milliseconds preparation = {})
{
    const auto end = group.time.now() + span;
    while (group.time.now() < end)
    {
        for (const auto& it : group.addresses())
        {
            group.request(it, workspace, admission_kind::other, preparation);
        }
        group.time.run(15ms);
    }
}

/// A holder loses the store or freezes until about the time at which others take its slices over, which it
/// must not use any more then, and a flood arrives through it and through the others.
void flood_after_takeover(quota_group& group, const std::string& holder, bool frozen, milliseconds span)
{
    if (frozen)
    {
        group.freeze(holder, span);
    }
    else
    {
        group.at(holder).store.mode = store_mode::unresponsive;
    }
    group.time.run(span);
    flood(group, "large", 6s);
    group.at(holder).store.mode = store_mode::available;
}

/// Permits for a whole burst are used as late as possible, and the next ones immediately.
void flood_with_late_permits(quota_group& group)
{
    group.time.run(10s);
    flood(group, "large", 300ms, 1'900ms);
    group.time.run(1'500ms);
    flood(group, "large", 5s);
}

slice_demand demand_of(std::uint32_t starts, std::uint32_t others)
{
    return {.waiting = {.starts = starts, .others = others}};
}

} // namespace

TEST_CASE("all slices together comply with the rule, even if permits are used late")
{
    struct row
    {
        request_quota quota;
        quota_rule rule;
        std::size_t slices;
    };
    const std::array table{
        row{{400, 400}, default_rule, 4},   row{{27, 27}, default_rule, 4},
        row{{3, 3}, default_rule, 4},       row{{2, 0}, default_rule, 4},
        row{{0.5, 1}, {.window = 5s}, 1},   row{{1'000, 0}, {.window = 5s}, 1},
        row{{400, 400}, {.window = 1s}, 4}, row{{10, 2}, {.window = 5s, .slack = 1}, 2},
        row{{1, 1}, {.window = 100ms}, 1},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.quota.rate);
        CAPTURE(it.quota.burst);
        const auto limits = slice_limits_for(it.quota, it.rule);
        CHECK(limits.count == it.slices);
        CHECK(limits.burst >= 1);
        CHECK(limits.permit_lifetime >= 100ms);
        const auto count = static_cast<double>(limits.count);
        const auto window = std::chrono::duration<double>{it.rule.window}.count();
        const auto lifetime = std::chrono::duration<double>{limits.permit_lifetime}.count();
        const auto most = count * (limits.rate * (window + lifetime) + limits.burst);
        const auto allowed =
            (it.quota.rate * window + it.quota.burst) * (1 + it.rule.overage) + it.rule.slack;
        // A limit below one request at a time can't be applied.
        CHECK(most <= std::max(allowed, 1.0) + 1e-9);
        CHECK(count * limits.rate <= it.quota.rate + 1e-9);
    }
}

TEST_CASE("a slice starts empty, refills at its rate up to its burst, and reports when it has capacity")
{
    const slice_limits limits{.count = 4, .rate = 10, .burst = 5, .permit_lifetime = 500ms};
    time_point now{1'000s};
    quota_slice slice{now};
    auto grant = slice.grant(demand_of(0, 3), limits, now);
    CHECK(grant.granted.others == 0);
    CHECK(grant.others_retry_after == 100ms);
    now += 250ms;
    grant = slice.grant(demand_of(0, 3), limits, now);
    CHECK(grant.granted.others == 2);
    CHECK(grant.others_retry_after == 50ms);
    now += 60s;
    CHECK(slice.grant(demand_of(0, 100), limits, now).granted.others == 5);
}

TEST_CASE("permits are prefetched only while the slice has ample capacity")
{
    const slice_limits limits{.count = 1, .rate = 10, .burst = 100, .permit_lifetime = 500ms};
    time_point now{1'000s};
    quota_slice slice{now};
    now += 60s;
    const slice_demand demand{.waiting = {.others = 10}, .prefetch = 30};
    CHECK(slice.grant(demand, limits, now).granted.others == 40);
    CHECK(slice.grant(demand, limits, now).granted.others == 10);
    CHECK(slice.grant(demand, limits, now).granted.others == 10);
}

// Load pattern: a flood of first requests of programs.
TEST_CASE("only as many programs start as the slice can complete, and those in progress have precedence")
{
    const slice_limits limits{.count = 1, .rate = 100, .burst = 100, .permit_lifetime = 500ms};
    time_point now{1'000s};
    quota_slice slice{now};
    now += 60s;
    // Establishes an average of ten requests per program.
    for (int n = 0; n < 200; ++n)
    {
        now += 200ms;
        REQUIRE(slice.grant(demand_of(1, 9), limits, now).granted == request_counts{1, 9});
    }
    now += 10s;
    const auto flood = slice.grant(demand_of(1'000, 0), limits, now);
    CHECK(flood.granted.starts >= 8);
    CHECK(flood.granted.starts <= 12);
    CHECK(flood.starts_retry_after > 0ms);
    // Their later requests are all granted, whatever else arrives.
    const auto later = slice.grant(demand_of(1'000, 80), limits, now + 100ms);
    CHECK(later.granted.others == 80);
    CHECK(later.granted.starts <= 1);

    quota_slice plain{now, program_admission::per_request};
    now += 60s;
    CHECK(plain.grant(demand_of(1'000, 0), limits, now).granted.starts == 100);
    CHECK(plain.grant(demand_of(0, 90), limits, now).granted.others == 0);
}

TEST_CASE("grant requests and responses round-trip, and malformed ones are rejected")
{
    const grant_request request{.slice = {{"w"}, 3}, .demand = {.waiting = {2, 5}, .prefetch = 7}};
    const auto read = decode_grant_request(encode(request));
    REQUIRE(read);
    CHECK(read->slice == request.slice);
    CHECK(read->demand.waiting == request.demand.waiting);
    CHECK(read->demand.prefetch == 7);
    const grant_response response =
        slice_grant{.granted = {1, 2}, .starts_retry_after = 30ms, .others_retry_after = 40ms};
    CHECK(decode_grant_response(encode(response)) == response);
    CHECK(decode_grant_response(encode(grant_response{not_holder{}})) == grant_response{not_holder{}});
    for (const auto* text : {"", "7", R"(["w",-1,0,0,0])", R"([1,1,1,1,1])", R"(["w",0,0,0])",
                             R"(["w",0,0,0,1.5])", R"([1,2,3])", R"([1,2,3,-4])", R"({"a":1})"})
    {
        CAPTURE(text);
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::parse(text, nullptr, false), bytes);
        CHECK_FALSE(decode_grant_request(bytes));
        CHECK_FALSE(decode_grant_response(bytes));
        CHECK_FALSE(decode_grant_request(text));
    }
    CHECK(rc::check("any bytes",
                    [](const std::string& bytes)
                    {
                        std::ignore = decode_grant_request(bytes);
                        std::ignore = decode_grant_response(bytes);
                    }));
}

TEST_CASE("the usual load is admitted at once through any gateways, with at most one message per request")
{
    for (const auto& it : {ingress{1, 1}, ingress{6, 6}, ingress{26, 1}, ingress{26, 2}, ingress{26, 26},
                           ingress{127, 127}, ingress{400, 3}})
    {
        CAPTURE(it.gateways);
        CAPTURE(it.used);
        quota_group group(it.gateways, {{"w", {40, 40}}});
        auto at = group.addresses();
        at.resize(it.used);
        const auto before = group.messages;
        send_load(group, at, "w", 25, 10s);
        group.time.run(1s);
        CHECK(group.sent["w"].size() == 250);
        CHECK(group.refused["w"].empty());
        CHECK(group.messages - before <= 250);
    }
}

TEST_CASE("beyond the quota, nearly as many requests are admitted as by one exact counter")
{
    for (const auto& it : {ingress{1, 1}, ingress{6, 6}, ingress{26, 1}, ingress{26, 2}, ingress{26, 26},
                           ingress{127, 127}, ingress{400, 400}})
    {
        CAPTURE(it.gateways);
        CAPTURE(it.used);
        quota_group group(it.gateways, {{"w", {40, 40}}, {"other", {40, 40}}});
        auto at = group.addresses();
        at.resize(it.used);
        send_load(group, at, "w", 200, 20s);
        const auto sent = group.sent["w"].size();
        CHECK(complies_with_rule(group.sent["w"], {40, 40}, default_rule));
        // An exact counter would admit 40 * 20 + 40 requests.
        CHECK(static_cast<double>(sent) >= 0.9 * 840);
        CHECK(std::ranges::all_of(group.refused["w"],
                                  [](const auto& one) { return one.used_up && one.retry_after > 0ms; }));
        // Other workspaces are not affected.
        send_load(group, at, "other", 25, 2s);
        group.time.run(1s);
        CHECK(group.sent["other"].size() == 50);
    }
}

// Load pattern: a flood of one workspace arrives through all gateways, with requests waiting for capacity on
// each.
TEST_CASE("the load of a flood on the holders does not grow with the number of gateways it arrives through")
{
    for (const std::size_t gateways : {10U, 100U, 400U})
    {
        CAPTURE(gateways);
        quota_group group(gateways, {{"w", {40, 40}}});
        const auto at = group.addresses();
        send_load(group, at, "w", 400, 2s);
        const auto before = group.messages;
        send_load(group, at, "w", 400, 10s);
        // Four slices, each asked at most 500 times per second.
        CHECK(group.messages - before <= 4 * 500 * 10);
        CHECK(complies_with_rule(group.sent["w"], {40, 40}, default_rule));
    }
}

// Load pattern: a burst on VMs with little CPU capacity, which need it for their own callers.
TEST_CASE("VMs with little CPU hold no slices while there are others")
{
    constexpr double little = 0.09;
    quota_group group(0, {{"w", {40, 40}}});
    for (int n = 0; n < 8; ++n)
    {
        group.start("weak" + std::to_string(n), little);
    }
    SUBCASE("with other gateways")
    {
        group.start("strong0");
        group.start("strong1");
        group.time.run(20s);
        for (std::size_t bucket = 0; bucket < quota_bucket_count; ++bucket)
        {
            const auto holder = group.at("weak0").buckets.holder_of(bucket);
            REQUIRE(holder);
            CHECK(holder->starts_with("strong"));
        }
    }
    SUBCASE("without other gateways")
    {
        group.time.run(20s);
        for (std::size_t bucket = 0; bucket < quota_bucket_count; ++bucket)
        {
            CHECK(group.at("weak0").buckets.holder_of(bucket));
        }
    }
    send_load(group, {"weak0", "weak1"}, "w", 25, 2s);
    group.time.run(1s);
    CHECK(group.sent["w"].size() == 50);
}

TEST_CASE("if a holder is dead, frozen or partitioned, the other slices carry the usual load")
{
    quota_group group(26, {{"w", {40, 40}}});
    const auto holder = group.at("g0").buckets.holder_of(quota_bucket_of({{"w"}, 0}));
    REQUIRE(holder);
    auto at = group.addresses();
    std::erase(at, *holder);
    at.resize(3);
    SUBCASE("dead")
    {
        group.stop(*holder);
    }
    SUBCASE("frozen")
    {
        group.freeze(*holder, 4s);
    }
    SUBCASE("partitioned")
    {
        group.at(*holder).partitioned = true;
    }
    send_load(group, at, "w", 25, 4s);
    group.time.run(1s);
    CHECK(group.sent["w"].size() == 100);
    // If a holder has failed permanently, another gateway takes over its slice.
    group.time.run(60s);
    if (!group.at(at[0]).buckets.holder_of(quota_bucket_of({{"w"}, 0})))
    {
        FAIL("no gateway holds the slice");
    }
}

TEST_CASE("a slice of a failed holder is taken over after its lease, and a frozen holder stops by itself")
{
    quota_group group(6, {{"w", {40, 40}}});
    const auto bucket = quota_bucket_of({{"w"}, 0});
    const auto holder = *group.at("g0").buckets.holder_of(bucket);
    REQUIRE(group.at(holder).buckets.may_use(bucket));
    SUBCASE("failed permanently")
    {
        group.stop(holder);
        group.time.run(10s);
        CHECK(group.at(group.addresses()[0]).buckets.holder_of(bucket) == holder);
        group.time.run(60s);
        const auto next = *group.at(group.addresses()[0]).buckets.holder_of(bucket);
        CHECK(next != holder);
        CHECK(group.at(next).buckets.may_use(bucket));
    }
    SUBCASE("the store does not respond")
    {
        group.at(holder).store.mode = store_mode::unresponsive;
        group.time.run(10s);
        CHECK(group.at(holder).buckets.may_use(bucket));
        group.time.run(20s);
        CHECK_FALSE(group.at(holder).buckets.may_use(bucket));
    }
    SUBCASE("frozen beyond its lease")
    {
        group.freeze(holder, 100s);
        group.time.run(99s);
        CHECK_FALSE(group.at(holder).buckets.may_use(bucket));
        group.time.run(10s);
        const auto holders = std::ranges::count_if(group.addresses(), [&](const auto& it)
                                                   { return group.at(it).buckets.may_use(bucket); });
        CHECK(holders == 1);
    }
}

// Load pattern: a large fleet, whose gateways look at the ownership row less often the more of them there
// are.
TEST_CASE("a holder renews its lease in time, however many gateways there are")
{
    for (const int gateways : {10, 400, 1'250, 2'500})
    {
        CAPTURE(gateways);
        virtual_time time;
        row_table rows;
        memory_store store{rows, time.delays()};
        peer_directory peers{{.address = "holder"}, test_seed()};
        std::vector<peer> others;
        for (int n = 1; n < gateways; ++n)
        {
            others.push_back({.address = "g" + std::to_string(n)});
        }
        peers.set(others);
        bucket_ownership buckets{quota_ownership_terms(), store,        peers,        {"holder", "1"},
                                 time.delays(),           time.clock(), time.clock(), test_seed()};
        buckets.start();
        const auto holds = [&buckets] { return buckets.may_use(0); };
        for (int waited = 0; waited < 200 && !holds(); ++waited)
        {
            time.run(1s);
        }
        REQUIRE(holds());
        for (int second = 0; second < 120; ++second)
        {
            time.run(1s);
            CHECK(holds());
        }
    }
}

TEST_CASE("the next incarnation on a VM takes over its slices immediately, and they start empty")
{
    quota_group group(6, {{"w", {40, 40}}});
    const auto bucket = quota_bucket_of({{"w"}, 0});
    const auto holder = *group.at("g0").buckets.holder_of(bucket);
    send_load(group, {holder}, "w", 200, 2s);
    group.start(holder);
    group.time.run(1s);
    CHECK(group.at(holder).buckets.may_use(bucket));
    send_load(group, {holder}, "w", 200, 5s);
    CHECK(complies_with_rule(group.sent["w"], {40, 40}, default_rule));
}

TEST_CASE("a restarted gateway takes all slices of its previous incarnation, also beyond its fair share")
{
    quota_group group(2, {{"w", {40, 40}}});
    for (int n = 2; n < 8; ++n)
    {
        group.start("g" + std::to_string(n));
    }
    group.time.run(10s);
    group.start("g0");
    group.time.run(2s);
    for (std::size_t bucket = 0; bucket < quota_bucket_count; ++bucket)
    {
        const auto holders = std::ranges::count_if(group.addresses(), [&](const auto& it)
                                                   { return group.at(it).buckets.may_use(bucket); });
        CHECK(holders == 1);
    }
}

TEST_CASE("a permit that expires before its request is sent is not used")
{
    quota_group group(6, {{"w", {40, 40}}});
    group.request("g0", "w", admission_kind::other, 700ms);
    group.time.run(2s);
    CHECK(group.sent["w"].empty());
    group.request("g0", "w", admission_kind::other, 100ms);
    group.time.run(2s);
    CHECK(group.sent["w"].size() == 1);
    // Prefetched permits expire as well.
    constexpr time_point now{1'000s};
    permit_pool permits;
    permits.add(5, now + 500ms);
    CHECK(permits.take(now + 499ms));
    CHECK_FALSE(permits.take(now + 500ms));
}

// Load pattern: a program calls many tools at once, more than the burst that its workspace has accumulated.
TEST_CASE("a burst of a program in progress waits for capacity; a new program is admitted or refused at once")
{
    quota_group group(6, {{"w", {40, 40}}});
    const auto at = group.addresses();
    // Exhausts the accumulated burst.
    send_load(group, at, "w", 200, 2s);
    group.time.run(1'500ms);
    group.sent["w"].clear();
    group.refused["w"].clear();
    for (int n = 0; n < 30; ++n)
    {
        group.request(at[static_cast<std::size_t>(n) % 2], "w");
    }
    group.time.run(2s);
    CHECK(group.sent["w"].size() >= 28);
    CHECK(group.refused["w"].empty());
    // The first requests of programs are admitted or refused without a noticeable wait.
    group.sent["w"].clear();
    for (int n = 0; n < 200; ++n)
    {
        group.request(at[0], "w", admission_kind::start);
    }
    group.time.run(50ms);
    CHECK(group.sent["w"].size() + group.refused["w"].size() == 200);
    CHECK_FALSE(group.refused["w"].empty());
    group.refused["w"].clear();
    group.time.run(2s);
    // Requests that can't be served in time are refused immediately.
    for (int n = 0; n < 1'000; ++n)
    {
        group.request(at[0], "w");
    }
    group.time.run(50ms);
    // The accumulated burst is admitted, and one second's worth of requests waits.
    CHECK(group.refused["w"].size() >= 1'000 - 64 - 40 - 1);
    CHECK(complies_with_rule(group.sent["w"], {40, 40}, default_rule));
}

TEST_CASE("requests wait for holders that were all killed and are restarting")
{
    quota_group group(6, {{"w", {40, 40}}});
    for (const auto& it : group.addresses())
    {
        group.start(it);
    }
    group.time.run(200ms);
    send_load(group, group.addresses(), "w", 25, 2s);
    group.time.run(1s);
    // The slices start empty, so a few requests are refused that arrive before there is capacity.
    CHECK(group.sent["w"].size() >= 45);
}

TEST_CASE("without any holder a request is refused as undecided, not as over the quota")
{
    quota_group group(1, {{"w", {40, 40}}}, program_admission::prepaid, 0s);
    group.request("g0", "w");
    group.request("g0", "w", admission_kind::start);
    group.time.run(2s);
    REQUIRE(group.refused["w"].size() == 2);
    CHECK_FALSE(group.refused["w"][0].used_up);
    CHECK(group.refused["w"][0].retry_after > 0ms);
}

TEST_CASE("a lower rate takes effect immediately")
{
    quota_group group(6, {{"w", {40, 40}}});
    const auto at = group.addresses();
    send_load(group, at, "w", 200, 5s);
    group.set_quotas({{"w", {10, 10}}});
    group.time.run(5s);
    group.sent["w"].clear();
    send_load(group, at, "w", 200, 10s);
    CHECK(complies_with_rule(group.sent["w"], {10, 10}, default_rule));
    CHECK(group.sent["w"].size() >= 80);
}

TEST_CASE("under kills, freezes, partitions, lost messages and outages, no window exceeds the rule")
{
    const std::map<std::string, request_quota> quotas{
        {"large", {120, 120}}, {"small", {8, 8}}, {"flat", {20, 0}}};
    CHECK(rc::check(
        "all windows comply with the rule",
        [&quotas](const std::uint32_t seed)
        {
            std::mt19937 random{seed};
            const auto pick = [&random](std::size_t n) {
                return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
            };
            quota_group group(2 + pick(6), quotas);
            group.drop_every = pick(3) == 0 ? 7 : 0;
            const std::array names{"large", "small", "flat"};
            for (int step = 0; step < 400; ++step)
            {
                const auto all = group.addresses();
                const auto& one = all[pick(all.size())];
                switch (pick(26))
                {
                case 0:
                    group.start(one);
                    break;
                case 1:
                    group.freeze(one, milliseconds{500 + 500 * pick(80)});
                    break;
                case 2:
                    group.at(one).partitioned = !group.at(one).partitioned;
                    break;
                case 3:
                    group.at(one).store.mode =
                        std::array{store_mode::available, store_mode::available, store_mode::unresponsive,
                                   store_mode::refusing, store_mode::answers_lost}[pick(5)];
                    break;
                case 4:
                    group.start("new" + std::to_string(pick(3)));
                    break;
                case 5:
                    if (all.size() > 2)
                    {
                        group.stop(one);
                    }
                    break;
                case 6:
                    group.time.run(milliseconds{1'000 * (1 + pick(10))});
                    break;
                case 7:
                    if (pick(4) == 0)
                    {
                        flood_after_takeover(group, one, pick(2) == 0, milliseconds{30'000 + pick(15'000)});
                    }
                    break;
                case 8:
                    if (pick(4) == 0)
                    {
                        flood_with_late_permits(group);
                    }
                    break;
                default:
                    for (std::size_t n = 0; n < 40; ++n)
                    {
                        const auto kind = pick(4) == 0 ? admission_kind::start : admission_kind::other;
                        group.request(one, names[pick(3)], kind, milliseconds{pick(2) * pick(2'000)});
                        group.time.run(milliseconds{pick(4)});
                    }
                }
            }
            group.time.run(5s);
            for (const auto& [name, quota] : quotas)
            {
                RC_ASSERT(complies_with_rule(group.sent[name], quota, group.rule));
            }
        }));
}

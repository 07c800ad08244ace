// Ownership of buckets when an incarnation outlives the start of its successor on the same VM: both would
// grant the same overdraft, or the same quota.
#include "support/ownership_group.hpp"
#include "support/test_seed.hpp"

#include "masticcourse/gateway/overdraft.hpp"
#include "masticcourse/gateway/quota/workspace_quotas.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

using member = ownership_group::member;

/// What becomes of the earlier incarnation at the start of its successor.
enum class predecessor_state : std::uint8_t
{
    running,
    cut_off,
    frozen,
    dead,
};

void disturb(member& it, predecessor_state state)
{
    switch (state)
    {
    case predecessor_state::running:
        break;
    case predecessor_state::cut_off:
        it.store.mode = store_mode::unresponsive;
        break;
    case predecessor_state::frozen:
        ownership_group::freeze(it);
        break;
    case predecessor_state::dead:
        ownership_group::kill(it);
        break;
    }
}

void recover(member& it)
{
    it.store.mode = store_mode::available;
    ownership_group::resume(it);
}

/// Runs for @a span and checks at every moment that no bucket has two users.
/// @return whether that held
bool stays_exclusive(ownership_group& group, seconds span)
{
    constexpr milliseconds step{100};
    const auto end = group.time.now() + span;
    while (group.time.now() < end)
    {
        group.time.run(step);
        if (!group.exclusive())
        {
            return false;
        }
    }
    return true;
}

struct succession
{
    const char* name;
    predecessor_state state;
    /// Time from the successor's start until the earlier incarnation runs and reaches the store again.
    seconds recovers_after;
};

} // namespace

TEST_CASE("a row with claims round-trips, and one with malformed claims is rejected")
{
    ownership_row row{.buckets = bucket_table(2)};
    row.buckets[1] = gateway_incarnation{"g0", "1"};
    row.claims["g0"] = "2";
    CHECK(decode_ownership(encode_ownership(row), 2) == row);
    row.renewals["1"] = 7;
    CHECK(decode_ownership(encode_ownership(row), 2) == row);
    for (const auto* claims : {"null", "[]", "1", R"({"g0":2})", R"({"g0":null})"})
    {
        CAPTURE(claims);
        const auto text = R"({"buckets":[null,null],"renewals":{},"claims":)" + std::string{claims} + "}";
        CHECK_FALSE(decode_ownership(text, 2));
    }
}

TEST_CASE(
    "at no moment may two incarnations on one VM use an overdraft bucket, whatever the earlier one does")
{
    const std::array table{
        succession{"goes on", predecessor_state::running, 0s},
        succession{"is cut off from the store for a while", predecessor_state::cut_off, 30s},
        succession{"is cut off until its successor has taken over", predecessor_state::cut_off, 700s},
        succession{"is frozen for a while", predecessor_state::frozen, 30s},
        succession{"is frozen until its successor has taken over", predecessor_state::frozen, 700s},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        ownership_group group(overdraft_ownership_terms(), test_seed());
        auto& old = group.start("g0");
        group.start("g1");
        group.start("g2");
        REQUIRE(stays_exclusive(group, 20s));
        std::vector<std::size_t> held;
        for (std::size_t bucket = 0; bucket < overdraft_bucket_count; ++bucket)
        {
            if (old.buckets.may_use(bucket))
            {
                held.push_back(bucket);
            }
        }
        REQUIRE_FALSE(held.empty());
        disturb(old, it.state);
        auto& successor = group.start("g0");
        CHECK(stays_exclusive(group, it.recovers_after));
        recover(old);
        CHECK(group.exclusive());
        CHECK(stays_exclusive(group, 1'000s - it.recovers_after));
        for (const auto bucket : held)
        {
            CHECK(group.only_user(bucket, successor));
        }
    }
}

TEST_CASE("an incarnation whose claim was removed by a gateway that does not know claims makes it again")
{
    ownership_group group(overdraft_ownership_terms(), test_seed());
    auto& old = group.start("g0");
    group.time.run(20s);
    ownership_group::kill(old);
    auto& successor = group.start("g0");
    group.time.run(300s);
    const auto row = group.rows.read({.table = "overdraft"}).rows.front();
    auto decoded = decode_ownership(row.value, overdraft_bucket_count);
    REQUIRE(decoded);
    REQUIRE(decoded->claims.size() == 1);
    decoded->claims.clear();
    std::ignore = group.rows.apply({.puts = {{row.name, encode_ownership(*decoded)}}});
    group.time.run(600s);
    CHECK(group.users(0).empty());
    group.time.run(100s);
    CHECK(group.only_user(0, successor));
}

TEST_CASE(
    "an incarnation waits from its claim on, not from its start, before it takes a predecessor's buckets")
{
    ownership_group group(overdraft_ownership_terms(), test_seed());
    auto& old = group.start("g0");
    group.time.run(20s);
    REQUIRE(group.only_user(0, old));
    auto& successor = group.start("g0");
    successor.store.mode = store_mode::refusing;
    CHECK(stays_exclusive(group, 700s));
    CHECK(group.only_user(0, old));
    successor.store.mode = store_mode::available;
    CHECK(stays_exclusive(group, 500s));
    CHECK(group.users(0).empty());
    CHECK(stays_exclusive(group, 200s));
    CHECK(group.only_user(0, successor));
}

TEST_CASE(
    "an incarnation that was replaced stops using its slices when it reads the row, and never takes them "
    "back")
{
    ownership_group group(quota_ownership_terms(), test_seed());
    auto& old = group.start("g0");
    group.start("g1");
    group.time.run(20s);
    REQUIRE(group.only_user(0, old) != group.only_user(0, *group.members()[1]));
    auto& successor = group.start("g0");
    // The earlier incarnation reads the row every four seconds, a quarter more at most.
    group.time.run(6s);
    CHECK(stays_exclusive(group, 300s));
    for (std::size_t bucket = 0; bucket < quota_bucket_count; ++bucket)
    {
        CHECK_FALSE(old.buckets.may_use(bucket));
        CHECK((group.only_user(bucket, successor) || group.only_user(bucket, *group.members()[1])));
    }
}

TEST_CASE("a holder stops granting overdrafts some time after it lost the store, and goes on once it is back")
{
    ownership_group group(overdraft_ownership_terms(), test_seed());
    auto& holder = group.start("g0");
    group.time.run(20s);
    REQUIRE(group.only_user(0, holder));
    holder.store.mode = store_mode::refusing;
    group.time.run(30s);
    CHECK(group.only_user(0, holder));
    group.time.run(30s);
    CHECK(group.users(0).empty());
    holder.store.mode = store_mode::available;
    group.time.run(15s);
    CHECK(group.only_user(0, holder));
}

// Load pattern: hundreds of gateways, which read the row less often the more of them there are.
TEST_CASE("a holder of overdraft buckets keeps them usable, however many gateways there are")
{
    for (const int gateways : {10, 400, 1'250, 2'500})
    {
        CAPTURE(gateways);
        ownership_group group(overdraft_ownership_terms(), test_seed());
        auto& holder = group.start("g0");
        std::vector<peer> others;
        for (int n = 1; n < gateways; ++n)
        {
            others.push_back({.address = "g" + std::to_string(n)});
        }
        holder.peers.set(others);
        for (int waited = 0; waited < 200 && !holder.buckets.may_use(0); ++waited)
        {
            group.time.run(1s);
        }
        REQUIRE(holder.buckets.may_use(0));
        for (int second = 0; second < 200; ++second)
        {
            group.time.run(1s);
            CHECK(holder.buckets.may_use(0));
        }
    }
}

// Load pattern: all slices of a large fleet are held, and their holders renew their leases in the one row.
// The conflicts of their writes must not make a lease lapse: gateways would ask the other slices in its
// place.
TEST_CASE("conflicts between holders make no lease lapse, however many gateways there are")
{
    for (const int gateways : {100, 400, 2'500})
    {
        CAPTURE(gateways);
        ownership_group group(quota_ownership_terms(), test_seed());
        std::vector<peer> all;
        all.reserve(static_cast<std::size_t>(gateways));
        for (int n = 0; n < gateways; ++n)
        {
            all.push_back({.address = "g" + std::to_string(n)});
        }
        for (std::size_t n = 0; n < quota_bucket_count; ++n)
        {
            group.start("g" + std::to_string(n));
        }
        std::ranges::for_each(group.members(), [&all](const auto& it) { it->peers.set(all); });
        const auto unused = [&group]
        {
            std::size_t count = 0;
            for (std::size_t bucket = 0; bucket < quota_bucket_count; ++bucket)
            {
                count += group.users(bucket).empty() ? 1 : 0;
            }
            return count;
        };
        for (int waited = 0; waited < 1'000 && unused() > 0; ++waited)
        {
            group.time.run(1s);
        }
        REQUIRE(unused() == 0);
        std::size_t lapses = 0;
        for (int step = 0; step < 1'000; ++step)
        {
            group.time.run(200ms);
            lapses += unused();
        }
        CHECK(lapses == 0);
    }
}

TEST_CASE("with random starts, ends, freezes and cuts no two incarnations may use an overdraft bucket")
{
    CHECK(rc::check("buckets have one user",
                    [](std::uint32_t seed, const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
                    {
                        ownership_group group(overdraft_ownership_terms(), {seed});
                        group.start("g0");
                        group.start("g1");
                        group.time.run(20s);
                        for (const auto& [action, operand] : steps)
                        {
                            const auto& members = group.members();
                            auto& one = *members[operand % members.size()];
                            switch (action % 8)
                            {
                            case 0:
                                group.start("g" + std::to_string(operand % 2));
                                break;
                            case 1:
                                disturb(one, static_cast<predecessor_state>(operand / 8 % 4));
                                break;
                            case 2:
                                if (!one.dead)
                                {
                                    recover(one);
                                }
                                break;
                            case 3:
                                one.store.mode = one.dead ? store_mode::refusing : store_mode::answers_lost;
                                break;
                            case 4:
                                RC_ASSERT(stays_exclusive(group, seconds{600 + operand}));
                                break;
                            default:
                                RC_ASSERT(stays_exclusive(group, seconds{operand % 64}));
                                break;
                            }
                            RC_ASSERT(group.exclusive());
                        }
                        RC_ASSERT(stays_exclusive(group, 700s));
                    }));
}

// The account of memory that is held for others, and for whom it is held while room is short.
#include "support/test_seed.hpp"

#include "masticcourse/memory/free_storage.hpp"
#include "masticcourse/memory/memory_account.hpp"
#include "masticcourse/memory/memory_shares.hpp"
#include "masticcourse/memory/process_memory.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <random>
#include <utility>
#include <vector>

using namespace masticcourse;

namespace
{

constexpr std::size_t kilobyte = 1'000;
constexpr std::size_t megabyte = 1'000 * kilobyte;

memory_account_ptr make_account(std::size_t capacity)
{
    return std::make_shared<memory_account>(capacity);
}

} // namespace

TEST_CASE("memory: what is read for nobody yet leaves room to what runs")
{
    struct row
    {
        memory_use use;
        std::size_t most;
    };
    // Of 100 MB in all.
    const std::array table{
        row{memory_use::connections, 100 * megabyte}, row{memory_use::responses, 100 * megabyte},
        row{memory_use::turns, 50 * megabyte},        row{memory_use::requests, 90 * megabyte},
        row{memory_use::uploads, 75 * megabyte},      row{memory_use::whole_bodies, 50 * megabyte},
        row{memory_use::repeats, 40 * megabyte},      row{memory_use::read_ahead, 40 * megabyte},
        row{memory_use::incoming, 60 * megabyte}};
    for (const auto& it : table)
    {
        CAPTURE(to_string(it.use));
        const auto account = make_account(100 * megabyte);
        memory_lease lease{account, it.use};
        CHECK(lease.reserve(it.most));
        CHECK_FALSE(lease.reserve(1));
        CHECK(account->held() == it.most);
        CHECK(account->held(it.use) == it.most);
        CHECK_FALSE(account->has_room(it.use, 1));
        lease.charge(1);
        CHECK(lease.reserve(0));
    }
}

TEST_CASE("memory: a lease releases what it holds on each way out")
{
    const auto account = make_account(megabyte);
    {
        memory_lease lease{account, memory_use::requests};
        CHECK(lease.reserve(100));
        lease.charge(2 * megabyte);
        lease.release(50);
        CHECK(account->held() == 2 * megabyte + 50);
        memory_lease moved{std::move(lease)};
        CHECK(moved.size() == 2 * megabyte + 50);
        moved = memory_lease{account, memory_use::uploads};
        CHECK(account->held() == 0);
        moved.set(70);
        moved.set(20);
        CHECK(account->held(memory_use::uploads) == 20);
    }
    CHECK(account->held() == 0);
    memory_lease without_account;
    CHECK(without_account.reserve(megabyte));
    CHECK(without_account.size() == megabyte);
}

TEST_CASE("memory: random reservations never pass a limit and leave nothing behind")
{
    std::mt19937 random{testing::test_seed().value};
    const auto account = make_account(megabyte);
    {
        std::vector<memory_lease> leases;
        for (int n = 0; n < 20'000; ++n)
        {
            const auto use = static_cast<memory_use>(random() % memory_use_count);
            leases.emplace_back(account, use);
            const auto size = random() % (50 * kilobyte);
            const auto before = account->held();
            const bool granted = leases.back().reserve(size);
            REQUIRE(granted == (size == 0 || before + size <= account->limit_of(use)));
            REQUIRE(account->held() == before + (granted ? size : 0));
            while (leases.size() > random() % 60)
            {
                std::swap(leases.back(), leases[random() % leases.size()]);
                leases.pop_back();
            }
        }
    }
    CHECK(account->held() == 0);
}

TEST_CASE("memory: the capacity follows from what the process takes beside the account")
{
    struct row
    {
        const char* what;
        memory_state state;
        std::size_t capacity;
    };
    const std::array table{
        row{"nothing held", {.limit = 80, .base = 10, .resident = 10, .held = 0}, 60},
        row{"all accounted for", {.limit = 80, .base = 10, .resident = 40, .held = 30}, 60},
        row{"heap that was not returned", {.limit = 80, .base = 10, .resident = 55, .held = 30}, 45},
        row{"reserved and not used yet", {.limit = 80, .base = 10, .resident = 20, .held = 50}, 60},
        row{"base over the limit", {.limit = 80, .base = 90, .resident = 90, .held = 0}, 0},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.what);
        CHECK(account_capacity(it.state) == it.capacity);
    }
    CHECK(process_memory{}.resident().value_or(0) > megabyte);
}

// Load: one workspace, or the less urgent, send more than there is room for.
TEST_CASE("memory: while room is short it is left to other workspaces and to the more urgent")
{
    struct row
    {
        const char* what;
        std::size_t held;
        memory_claim claim;
        bool granted;
    };
    constexpr auto uploads = memory_use::uploads;
    const std::array table{
        row{"room for all",
            0,
            {.workspace = "a", .priority = 9, .use = uploads, .size = 45 * megabyte},
            true},
        row{"the most urgent", 60 * megabyte, {.priority = 0, .use = uploads, .size = 14 * megabyte}, true},
        row{"less urgent", 60 * megabyte, {.priority = 2, .use = uploads, .size = 4 * megabyte}, true},
        row{"less urgent, too much",
            60 * megabyte,
            {.priority = 2, .use = uploads, .size = 6 * megabyte},
            false},
        row{"least urgent", 60 * megabyte, {.priority = 9, .use = uploads, .size = megabyte}, false},
        row{"short ones have more room", 74 * megabyte, {.priority = 2, .size = 5 * megabyte}, true},
        row{"held already", 79 * megabyte, {.priority = 2, .size = 5 * megabyte, .held = 5 * megabyte}, true},
        row{"one takes all", 55 * megabyte, {.workspace = "a", .use = uploads, .size = 5 * megabyte}, false},
        row{"another one", 55 * megabyte, {.workspace = "b", .use = uploads, .size = 5 * megabyte}, true},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.what);
        const auto account = make_account(100 * megabyte);
        memory_shares shares{account};
        const auto first = shares.claim({.workspace = "a", .use = uploads, .size = 30 * megabyte});
        REQUIRE(first);
        memory_lease lease{account, memory_use::connections};
        lease.charge(it.held);
        CHECK(shares.claim(it.claim).has_value() == it.granted);
        CHECK(shares.held_by("a") == 30 * megabyte);
    }
}

TEST_CASE("memory: a workspace's share ends with its request")
{
    memory_shares shares{make_account(100 * megabyte)};
    auto one = shares.claim({.workspace = "a", .size = 5});
    {
        auto other = shares.claim({.workspace = "a", .size = 7});
        CHECK(shares.held_by("a") == 12);
        *one = std::move(*other);
        CHECK(shares.held_by("a") == 12);
    }
    CHECK(shares.held_by("a") == 7);
    one.reset();
    CHECK(shares.held_by("a") == 0);
}

TEST_CASE("the storage of a container is freed at once")
{
    std::string text(megabyte, 'x');
    free_storage(text);
    CHECK(text.empty());
    CHECK(text.capacity() < kilobyte);
}

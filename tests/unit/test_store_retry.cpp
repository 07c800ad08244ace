// Pauses between attempts at the store: they grow, have a bound, and differ between processes.
#include "masticcourse/state/store_retry.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

using namespace masticcourse;
using namespace std::chrono_literals;

TEST_CASE("an outage meets few attempts, however often its state machine is polled")
{
    struct row
    {
        store_status status;
        store_answer answer;
    };
    for (const auto& it : {row{store_status::unavailable, store_answer::refused},
                           row{store_status::outcome_unknown, store_answer::lost}})
    {
        core_time now{};
        store_exchange exchange({.first_gap = 50ms, .longest_gap = 2s}, 7);
        int attempts = 0;
        for (; now < core_time{} + 10min; now += 10ms)
        {
            if (exchange.open(now))
            {
                exchange.sent();
                CHECK_FALSE(exchange.open(now));
                CHECK(exchange.ready_at() == core_time::max());
                CHECK(exchange.received({.status = it.status}, now) == it.answer);
                ++attempts;
            }
        }
        // Between one in 3 s and one a second, and a few at the start.
        CHECK(attempts >= 200);
        CHECK(attempts <= 610);
    }
}

TEST_CASE("an answer ends the pauses")
{
    core_time now{};
    store_exchange exchange({}, 7);
    CHECK(exchange.received({}, now) == store_answer::none);
    exchange.sent();
    CHECK(exchange.received({.status = store_status::unavailable}, now) == store_answer::refused);
    CHECK_FALSE(exchange.open(now));
    now = exchange.ready_at();
    REQUIRE(exchange.open(now));
    exchange.sent();
    CHECK(exchange.received({.status = store_status::conflict}, now) == store_answer::settled);
    CHECK(exchange.open(now));
}

TEST_CASE("processes with different seeds come back at different times")
{
    const auto next = [](std::uint64_t seed)
    {
        store_retry retry({.first_gap = 1s}, seed);
        retry.failed(core_time{});
        return retry.ready_at();
    };
    CHECK(next(1) == next(1));
    CHECK(next(1) != next(2));
}

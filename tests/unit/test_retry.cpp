// Tests of backoff, the retry budget, hedging, the circuit breaker, the loop guard and admission at the edge.
#include "masticcourse/policy/circuit_breaker.hpp"
#include "masticcourse/policy/hedge.hpp"
#include "masticcourse/policy/loop_guard.hpp"
#include "masticcourse/policy/overload.hpp"
#include "masticcourse/policy/retry.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <chrono>
#include <optional>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

TEST_CASE("backoff grows with jitter up to its maximum")
{
    struct row
    {
        unsigned attempt;
        core_duration max_delay;
    };
    constexpr std::array table{row{1, 50ms}, row{2, 100ms}, row{4, 400ms}, row{40, 5s}};
    random_source random{7};
    for (const auto& it : table)
    {
        for (int n = 0; n < 100; ++n)
        {
            const auto delay = backoff_delay({}, it.attempt, random);
            CHECK(delay >= it.max_delay / 2);
            CHECK(delay <= it.max_delay);
        }
    }
}

TEST_CASE("retries never exceed the budget")
{
    const bool passed = rc::check(
        [](const std::vector<bool>& steps)
        {
            const retry_budget_options options{.ratio = 0.1, .burst = 3};
            retry_budget budget{options};
            double requests = 0;
            double retries = 0;
            for (const bool is_request : steps)
            {
                if (is_request)
                {
                    budget.record_request();
                    requests += 1;
                }
                else
                {
                    retries += budget.try_retry() ? 1 : 0;
                }
                RC_ASSERT(retries <= options.burst + options.ratio * requests + 1e-9);
            }
        });
    CHECK(passed);
}

TEST_CASE("the circuit breaker opens, probes and closes")
{
    core_time now{};
    circuit_breaker breaker{
        {.failure_threshold = 2, .open_duration = 1s, .max_open_duration = 4s, .half_open_probes = 1}};
    const auto fail = [&]
    {
        breaker.on_sent(now);
        breaker.on_failure(now);
    };
    fail();
    CHECK(breaker.allows(now));
    fail();
    CHECK(breaker.state(now) == breaker_state::open);
    CHECK_FALSE(breaker.allows(now));
    now += 1s;
    CHECK(breaker.state(now) == breaker_state::half_open);
    breaker.on_sent(now);
    CHECK_FALSE(breaker.allows(now));
    breaker.on_failure(now);
    now += 1s;
    CHECK_FALSE(breaker.allows(now));
    now += 1s;
    breaker.on_sent(now);
    breaker.on_success(now);
    CHECK(breaker.state(now) == breaker_state::closed);
    CHECK(breaker.allows(now));
}

TEST_CASE("an unanswered probe does not exclude a target forever")
{
    circuit_breaker breaker{
        {.failure_threshold = 1, .open_duration = 1s, .max_open_duration = 4s, .half_open_probes = 1}};
    breaker.on_failure({});
    core_time now = core_time{} + 1s;
    breaker.on_sent(now);
    CHECK_FALSE(breaker.allows(now));
    now += 4s;
    CHECK(breaker.allows(now));
}

TEST_CASE("only slow idempotent calls are hedged, within the budget")
{
    hedge_policy hedges{
        {.quantile = 0.5, .factor = 2, .window = 4, .min_samples = 2, .budget = {.ratio = 0, .burst = 1}}};
    CHECK_FALSE(hedges.delay(true));
    for (const auto latency : {900ms, 1ms, 10ms, 10ms, 10ms, 10ms})
    {
        hedges.record_latency(latency);
    }
    CHECK(hedges.delay(true) == core_duration{20ms});
    CHECK_FALSE(hedges.delay(false));
    CHECK(hedges.try_hedge());
    CHECK_FALSE(hedges.try_hedge());
}

TEST_CASE("the loop guard limits turns and repeated requests")
{
    loop_guard repeat_guard{{.max_turns = 100, .max_repeats = 2, .window = 4}};
    CHECK(repeat_guard.check(1) == problem_id::none);
    CHECK(repeat_guard.check(1) == problem_id::none);
    CHECK(repeat_guard.check(1) == problem_id::repeated_call);
    for (const std::uint64_t other : {2U, 3U, 4U, 5U})
    {
        CHECK(repeat_guard.check(other) == problem_id::none);
    }
    CHECK(repeat_guard.check(1) == problem_id::none);
    loop_guard turn_guard{{.max_turns = 2}};
    CHECK(turn_guard.check(1) == problem_id::none);
    CHECK(turn_guard.check(2) == problem_id::none);
    CHECK(turn_guard.check(3) == problem_id::turn_limit);
}

TEST_CASE("overload admission")
{
    struct row
    {
        const char* name;
        admission_query query;
        service_backlog backlog;
        std::optional<core_duration> retry_after;
    };
    const overload_options options{
        .new_program_limit = 4s, .class_factor = 0.5, .running_program_limit = 20s};
    const std::vector<row> table{
        {"below the limit", {.priority = service_class::assistance, .first_turn = true}, {3s, 2}, {}},
        {"backlog too long for new programs",
         {.priority = service_class::assistance, .first_turn = true},
         {6s, 2},
         2s},
        {"backlog too long for a lower class", {.first_turn = true}, {3s, 2}, 1s},
        {"calls of running programs are admitted", {}, {6s, 2}, {}},
        {"backlog too long for running programs", {}, {30s, 2}, 10s},
        {"cannot finish before the deadline",
         {.estimated_duration = 2s, .time_to_deadline = 4s},
         {3s, 2},
         1s},
        {"no usable target", {}, {0s, 0}, 500ms},
        {"minimum retry delay",
         {.priority = service_class::assistance, .first_turn = true},
         {4001ms, 2},
         500ms},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        CHECK(overload_retry_after(it.query, it.backlog, options) == it.retry_after);
    }
}

// Tests of placement: tables of small sets of targets, and a property that must hold for any set.
#include "masticcourse/policy/placement.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

namespace
{

constexpr core_time now = core_time{} + 10s;

target_view idle_target(const char* domain = "a")
{
    return {
        .failure_domain = {domain}, .report = {.prefill_rate = 8000, .decode_rate = 700}, .report_time = now};
}

placement_options with(placement_policy policy)
{
    return {.policy = policy};
}

} // namespace

TEST_CASE("target chosen by earliest finish")
{
    struct row
    {
        const char* name;
        std::vector<token_count> queued;
        std::vector<cached_prefix> cached;
        std::optional<std::size_t> previous_target;
        std::size_t chosen;
    };
    const std::vector<row> table{
        {"the shortest queue", {8000, 0, 16000}, {}, {}, 1},
        {"a cached prefix over an idle target", {4000, 0, 0}, {{0, 8000}}, 0, 0},
        {"the longer of two prefixes", {0, 0, 0}, {{1, 2000}, {2, 8000}}, 1, 2},
        {"an idle target over a cached prefix behind a queue that costs more than the prefill",
         {400000, 0, 0},
         {{0, 4000}},
         0,
         1},
        {"the previous target if all are equal", {0, 0, 0}, {}, 2, 2},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        std::vector<target_view> targets;
        for (const token_count queued : it.queued)
        {
            targets.push_back(idle_target());
            targets.back().report.queued_prefill = queued;
        }
        const placement_query query{.prompt_tokens = 9000,
                                    .expected_completion_tokens = 100,
                                    .cached = it.cached,
                                    .previous_target = it.previous_target};
        const auto choice = choose_target(query, targets, now, with(earliest_finish{}));
        REQUIRE(choice);
        CHECK(choice->target == it.chosen);
    }
}

TEST_CASE("own work sent since the report counts")
{
    std::vector<target_view> targets{idle_target(), idle_target()};
    targets[0].in_flight_prefill = 9000;
    CHECK(choose_target({.prompt_tokens = 100}, targets, now, with(earliest_finish{}))->target == 1);
}

TEST_CASE("an expired report is ignored")
{
    target_view target = idle_target();
    target.report.queued_prefill = 80000;
    target.report_time = now - 1s;
    CHECK(expected_queue_delay(target, now, {}) == 9s);
    target.report_time = now - 6s;
    CHECK(expected_queue_delay(target, now, {}) == 0s);
}

TEST_CASE("without a fresh report only calls beyond a full batch count as queued")
{
    target_view target = idle_target();
    target.report_time = now - 6s;
    target.in_flight_prefill = 32000;
    target.in_flight = 16;
    CHECK(expected_queue_delay(target, now, {.batch_size = 16}) == 0s);
    target.in_flight = 32;
    CHECK(expected_queue_delay(target, now, {.batch_size = 16}) == 2s);
}

TEST_CASE("the local failure domain breaks ties")
{
    const std::vector<target_view> targets{idle_target("a"), idle_target("b"), idle_target("c")};
    const placement_query query{.prompt_tokens = 100, .local_domain = {"b"}};
    CHECK(choose_target(query, targets, now, with(earliest_finish{}))->target == 1);
}

TEST_CASE("a prefix is transferred if that is cheaper than recomputing it")
{
    std::vector<target_view> targets{idle_target(), idle_target()};
    targets[0].report.queued_prefill = 800000;
    const std::vector<cached_prefix> cached{{0, 8000}};
    const placement_query query{.prompt_tokens = 8100, .cached = cached, .previous_target = 0};
    const auto choice = choose_target(query, targets, now, with(earliest_finish{.transfer_rate = 100000}));
    CHECK(choice->target == 1);
    CHECK(choice->transfer_prefix_from == 0);
    CHECK_FALSE(choose_target(query, targets, now, with(earliest_finish{}))->transfer_prefix_from);
}

TEST_CASE("targets chosen by the baseline policies")
{
    std::vector<target_view> targets{idle_target(), idle_target(), idle_target()};
    targets[0].report.queued = 3;
    targets[1].report.running = 1;
    targets[2].usable = false;
    CHECK(choose_target({.sequence = 1}, targets, now, with(round_robin{}))->target == 1);
    CHECK(choose_target({.sequence = 2}, targets, now, with(round_robin{}))->target == 0);
    CHECK(choose_target({.previous_target = 0}, targets, now, with(least_load{}))->target == 1);
    CHECK(choose_target({.previous_target = 0}, targets, now, with(sticky{}))->target == 0);
    CHECK(choose_target({.previous_target = 2}, targets, now, with(sticky{}))->target == 1);
}

TEST_CASE("a usable target is chosen whenever there is one, and never an unusable one")
{
    const bool passed = rc::check(
        [](const std::vector<bool>& usable, std::uint8_t last, std::uint64_t sequence)
        {
            std::vector<target_view> targets(usable.size(), idle_target());
            std::transform(usable.begin(), usable.end(), targets.begin(), targets.begin(),
                           [](bool is_usable, target_view view)
                           {
                               view.usable = is_usable;
                               return view;
                           });
            const bool any_usable = std::ranges::find(usable, true) != usable.end();
            const placement_query query{
                .program = {"p"}, .prompt_tokens = 10, .previous_target = last, .sequence = sequence};
            for (const placement_policy& policy :
                 {placement_policy{earliest_finish{.sample_size = 2}}, placement_policy{round_robin{}},
                  placement_policy{least_load{}}, placement_policy{sticky{}}})
            {
                const auto choice = choose_target(query, targets, now, with(policy));
                RC_ASSERT(choice.has_value() == any_usable);
                const bool is_usable = !choice || usable.at(choice->target);
                RC_ASSERT(is_usable);
            }
        });
    CHECK(passed);
}

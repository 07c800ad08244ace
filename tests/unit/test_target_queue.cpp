// Tests of the target queue: its order, and that no call is lost, duplicated or starved.
#include "masticcourse/policy/target_queue.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

namespace
{

waiting_call make_call(const std::string& name, const std::string& workspace = "w")
{
    return {.call = {{name}, {"k"}}, .workspace = {workspace}, .prompt_tokens = 100, .max_tokens = 50};
}

/// Pops all calls and returns the concatenated ids of their programs.
std::string pop_all(target_queue& queue, core_time now = {})
{
    std::string names;
    while (const auto call = queue.pop(now))
    {
        names += call->call.program.value;
    }
    return names;
}

} // namespace

TEST_CASE("the order of two calls")
{
    struct row
    {
        const char* rule;
        std::function<void(waiting_call& a, waiting_call& b)> change;
        const char* order;
    };
    const std::vector<row> table{
        {"first come, first served", [](auto&, auto&) {}, "ab"},
        {"higher class first",
         [](auto& a, auto& b)
         {
             b.priority = service_class::assistance;
             a.priority = service_class::background;
         },
         "ba"},
        {"near deadline first", [](auto&, auto& b) { b.deadline = core_time{} + 1s; }, "ba"},
        {"bounded delay of a lower class",
         [](auto& a, auto& b)
         {
             a.priority = service_class::background;
             b.arrived = core_time{} + 10min;
         },
         "ab"},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.rule);
        auto a = make_call("a");
        auto b = make_call("b");
        it.change(a, b);
        target_queue queue;
        queue.push(a);
        queue.push(b);
        CHECK(pop_all(queue) == it.order);
    }
}

TEST_CASE("a workspace that floods the queue does not delay another one")
{
    target_queue queue;
    for (int n = 0; n < 50; ++n)
    {
        auto call = make_call("f" + std::to_string(n), "flood");
        call.prompt_tokens = 20000;
        queue.push(call);
    }
    auto late_call = make_call("late", "quiet");
    late_call.arrived = core_time{} + 2s;
    queue.push(late_call);
    std::size_t popped_before = 0;
    while (queue.pop({})->call.program.value != "late")
    {
        ++popped_before;
    }
    CHECK(popped_before < 5);
}

TEST_CASE("a call with the same reference is queued once")
{
    target_queue queue;
    CHECK(queue.push(make_call("a")));
    CHECK_FALSE(queue.push(make_call("a", "other")));
    CHECK(queue.size() == 1);
    CHECK(queue.queued_prefill() == 100);
    CHECK(queue.queued_decode() == 50);
    CHECK(queue.remove(make_call("a").call));
    CHECK_FALSE(queue.remove(make_call("a").call));
    CHECK(queue.queued_prefill() == 0);
    CHECK_FALSE(queue.pop({}));
}

TEST_CASE("calls expire in order of their deadlines")
{
    target_queue queue;
    for (const int seconds : {3, 1, 2})
    {
        auto call = make_call(std::to_string(seconds));
        call.deadline = core_time{} + std::chrono::seconds{seconds};
        queue.push(call);
    }
    const auto expired = queue.expire(core_time{} + 2s);
    REQUIRE(expired.size() == 2);
    CHECK(expired[0].call.program.value == "1");
    CHECK(expired[1].call.program.value == "2");
    CHECK(pop_all(queue) == "3");
}

TEST_CASE("no call is lost or returned twice")
{
    const bool passed = rc::check(
        [](const std::vector<std::uint8_t>& steps)
        {
            target_queue queue;
            std::set<call_ref> queued;
            for (const auto step : steps)
            {
                auto call = make_call(std::to_string(step % 16), std::to_string(step % 3));
                call.priority = static_cast<service_class>(step % 3);
                if (step < 160)
                {
                    RC_ASSERT(queue.push(call) == queued.insert(call.call).second);
                }
                else if (step < 200)
                {
                    RC_ASSERT(queue.remove(call.call) == (queued.erase(call.call) == 1));
                }
                else if (const auto popped = queue.pop({}))
                {
                    RC_ASSERT(queued.erase(popped->call) == 1U);
                }
                RC_ASSERT(queue.size() == queued.size());
            }
            while (const auto popped = queue.pop({}))
            {
                RC_ASSERT(queued.erase(popped->call) == 1U);
            }
            RC_ASSERT(queued.empty());
            RC_ASSERT(queue.queued_prefill() == 0);
            RC_ASSERT(queue.queued_decode() == 0);
        });
    CHECK(passed);
}

TEST_CASE("no call is overtaken by one that arrived more than the maximum delay later")
{
    const bool passed = rc::check(
        [](const std::vector<std::uint16_t>& arrivals)
        {
            const queue_order order;
            target_queue queue{order};
            core_time now{};
            std::size_t next_id = 0;
            const auto check_pop = [&]
            {
                const auto popped = queue.pop(now);
                if (!popped)
                {
                    return;
                }
                auto rest = queue;
                while (const auto other = rest.pop(now))
                {
                    RC_ASSERT(popped->arrived <= other->arrived + order.max_total_delay());
                }
            };
            for (const auto it : arrivals)
            {
                now += std::chrono::milliseconds{it};
                auto call = make_call(std::to_string(next_id++), std::to_string(it % 4));
                call.arrived = now;
                call.priority = static_cast<service_class>(it % 3);
                call.attained = token_count{it} * 10;
                call.first_turn = it % 5 == 0;
                queue.push(call);
                if (it % 7 < 3)
                {
                    check_pop();
                }
            }
            while (queue.size() > 0)
            {
                check_pop();
            }
        });
    CHECK(passed);
}

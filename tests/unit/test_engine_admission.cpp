// Tests of engine admission, the rate meter and the load report.
#include "masticcourse/policy/engine_admission.hpp"
#include "masticcourse/policy/rate_meter.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;

namespace
{

waiting_call make_call(const std::string& name, token_count prompt, token_count cached = 0)
{
    return {.call = {{name}, {"k"}}, .prompt_tokens = prompt, .expected_cached = cached, .max_tokens = 100};
}

} // namespace

TEST_CASE("engine admission")
{
    struct row
    {
        const char* name;
        std::vector<waiting_call> running;
        waiting_call next;
        bool admitted;
    };
    constexpr engine_limits limits{.max_running = 2, .max_tokens = 5000, .max_prefill_tokens = 1000};
    const std::vector<row> table{
        {"an idle engine admits any call", {}, make_call("n", 100000), true},
        {"a second call within the limits", {make_call("a", 400)}, make_call("n", 400), true},
        {"no free slot", {make_call("a", 100), make_call("b", 100)}, make_call("n", 100), false},
        {"not enough memory", {make_call("a", 4000, 4000)}, make_call("n", 900, 900), false},
        {"prefill limit exceeded", {make_call("a", 800)}, make_call("n", 800), false},
        {"cached tokens need no prefill", {make_call("a", 800)}, make_call("n", 800, 700), true},
        {"one long prefill if no other prefill is in progress",
         {make_call("a", 800, 800)},
         make_call("n", 3000),
         true},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        engine_admission admission{limits};
        for (const auto& call : it.running)
        {
            admission.on_started(call);
        }
        CHECK(admission.admits(it.next) == it.admitted);
    }
}

TEST_CASE("counts return to zero in whatever order calls end")
{
    engine_admission admission;
    admission.on_started(make_call("a", 500));
    admission.on_started(make_call("b", 700, 200));
    CHECK(admission.pending_prefill_tokens() == 1000);
    admission.on_prefilled(make_call("a", 0).call);
    admission.on_prefilled(make_call("a", 0).call);
    CHECK(admission.pending_prefill_tokens() == 500);
    admission.on_finished(make_call("b", 0).call);
    admission.on_finished(make_call("a", 0).call);
    admission.on_finished(make_call("a", 0).call);
    CHECK(admission.pending_prefill_tokens() == 0);
    CHECK(admission.pending_decode_tokens() == 0);
    CHECK(admission.running_count() == 0);
}

TEST_CASE("the rate meter follows an engine that slows down")
{
    rate_meter meter{{.prefill_rate = 8000, .decode_rate = 700}, 16};
    for (int n = 0; n < 100; ++n)
    {
        meter.on_prefill(1000, 1250ms);
        meter.on_decode(100, 23s, 200);
    }
    CHECK(meter.speed().prefill_rate == doctest::Approx(800).epsilon(0.01));
    CHECK(meter.speed().decode_rate == doctest::Approx(1600.0 / 23).epsilon(0.01));
    CHECK(meter.answer_length_ratio() == doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("a load report states the work ahead of a new call")
{
    target_queue queue;
    queue.push(make_call("q", 300, 100));
    engine_admission engine;
    engine.on_started(make_call("r", 500));
    const auto load = make_load_report(queue, engine, rate_meter{});
    CHECK(load.queued == 1);
    CHECK(load.running == 1);
    CHECK(load.queued_prefill == 700);
    CHECK(load.queued_decode == 50);
}

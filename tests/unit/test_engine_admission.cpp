// How much an engine is handed at once.
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

waiting_call call_of(const std::string& name, token_count prompt, token_count cached = 0)
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
    constexpr engine_limits limits{.max_running = 2, .max_tokens = 5000, .max_prefill = 1000};
    const std::vector<row> table{
        {"an idle engine takes any call", {}, call_of("n", 100000), true},
        {"a second one that fits", {call_of("a", 400)}, call_of("n", 400), true},
        {"no slot", {call_of("a", 100), call_of("b", 100)}, call_of("n", 100), false},
        {"no memory", {call_of("a", 4000, 4000)}, call_of("n", 900, 900), false},
        {"too much to prefill at once", {call_of("a", 800)}, call_of("n", 800), false},
        {"what is cached needs no prefill", {call_of("a", 800)}, call_of("n", 800, 700), true},
        {"one long prefill where nothing else prefills", {call_of("a", 800, 800)}, call_of("n", 3000), true},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        engine_admission admission{limits};
        for (const auto& call : it.running)
        {
            admission.started(call);
        }
        CHECK(admission.admits(it.next) == it.admitted);
    }
}

TEST_CASE("counts go back to nothing, in whatever order calls end")
{
    engine_admission admission;
    admission.started(call_of("a", 500));
    admission.started(call_of("b", 700, 200));
    CHECK(admission.prefilling() == 1000);
    admission.prefilled(call_of("a", 0).call);
    admission.prefilled(call_of("a", 0).call);
    CHECK(admission.prefilling() == 500);
    admission.finished(call_of("b", 0).call);
    admission.finished(call_of("a", 0).call);
    admission.finished(call_of("a", 0).call);
    CHECK(admission.prefilling() == 0);
    CHECK(admission.decoding() == 0);
    CHECK(admission.running() == 0);
}

TEST_CASE("the meter follows an engine that slows down")
{
    rate_meter meter{{.prefill_rate = 8000, .decode_rate = 700}, 16};
    for (int n = 0; n < 100; ++n)
    {
        meter.on_prefill(1000, 1250ms);
        meter.on_decode(100, 23s, 200);
    }
    CHECK(meter.speed().prefill_rate == doctest::Approx(800).epsilon(0.01));
    CHECK(meter.speed().decode_rate == doctest::Approx(1600.0 / 23).epsilon(0.01));
    CHECK(meter.answer_share() == doctest::Approx(0.5).epsilon(0.02));
}

TEST_CASE("a report tells the work in front of a new call")
{
    target_queue queue;
    queue.push(call_of("q", 300, 100));
    engine_admission engine;
    engine.started(call_of("r", 500));
    const auto load = describe_load(queue, engine, rate_meter{});
    CHECK(load.queued == 1);
    CHECK(load.running == 1);
    CHECK(load.queued_prefill == 700);
    CHECK(load.queued_decode == 50);
}

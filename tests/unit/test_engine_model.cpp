// Simulated model engine: batching, prefix cache, eviction, cancellation, export and import of prefixes.
#include "engine_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>

using namespace masticcourse;
using namespace masticcourse::standins;
using namespace std::chrono_literals;

namespace
{

/// @return @a words words that are unique to @a name
std::string make_text(const std::string& name, token_count words)
{
    std::string text;
    for (token_count n = 0; n < words; ++n)
    {
        text += (n == 0 ? "" : " ") + name + std::to_string(n);
    }
    return text;
}

engine_request make_request(const std::string& stream, std::vector<std::string> prompt,
                            token_count completion_tokens)
{
    return {.stream = {stream},
            .program = {"program-" + stream},
            .prompt = std::move(prompt),
            .max_tokens = completion_tokens,
            .answer_tokens = completion_tokens};
}

/// Output of the engine for one stream.
struct stream_result
{
    std::string text;
    token_usage usage;
    core_time first;
    core_time finished;
    bool too_long = false;
};

std::map<std::string, stream_result> run_until_idle(engine_model& engine)
{
    std::map<std::string, stream_result> results;
    while (const auto at = engine.next_event_time())
    {
        for (const auto& event : engine.advance(*at))
        {
            if (const auto* token = std::get_if<token_event>(&event))
            {
                auto& it = results[token->stream.value];
                it.first = token->index == 0 ? token->at : it.first;
                it.text += token->text;
            }
            else if (const auto* finished = std::get_if<finished_event>(&event))
            {
                auto& it = results[finished->stream.value];
                it.usage = finished->usage;
                it.finished = finished->at;
                it.too_long = finished->too_long;
            }
        }
    }
    return results;
}

const engine_options small_engine{.max_running = 2,
                                  .cache_capacity = 100,
                                  .prefill_rate = 1000,
                                  .prefill_chunk = 10,
                                  .decode_step = 10ms,
                                  .decode_step_per_sequence = 1ms};

} // namespace

TEST_CASE("engine model batches")
{
    engine_model engine{small_engine};
    SUBCASE("one sequence prefills at the configured rate, then decodes one token per step")
    {
        engine.start(make_request("a", {make_text("x", 20)}, 3), {});
        const auto results = run_until_idle(engine);
        CHECK(results.at("a").text == completion_text(std::vector{make_text("x", 20)}, 3));
        CHECK(results.at("a").first == core_time{20ms});
        CHECK(results.at("a").finished == core_time{42ms});
        CHECK(results.at("a").usage == token_usage{.prompt = 20, .cached = 0, .completion = 3});
    }
    SUBCASE("two batched sequences take longer than one, but less than two run in turn")
    {
        engine.start(make_request("a", {make_text("x", 10)}, 11), {});
        engine.start(make_request("b", {make_text("y", 10)}, 11), {});
        const auto results = run_until_idle(engine);
        CHECK(results.at("b").finished > core_time{120ms});
        CHECK(results.at("b").finished < core_time{200ms});
    }
    SUBCASE("a third sequence queues until the batch has a free slot")
    {
        for (const auto* name : {"a", "b", "c"})
        {
            engine.start(make_request(name, {make_text(name, 5)}, 5), {});
        }
        engine.advance(core_time{5ms});
        CHECK(engine.load().running == 2);
        CHECK(engine.load().queued == 1);
        const auto results = run_until_idle(engine);
        CHECK(results.at("c").first > results.at("a").finished);
    }
    SUBCASE("a slowdown multiplies the step duration")
    {
        engine.set_slowdown(3);
        engine.start(make_request("a", {make_text("x", 10)}, 1), {});
        CHECK(run_until_idle(engine).at("a").finished == core_time{30ms});
    }
}

TEST_CASE("engine model caches prefixes")
{
    struct row
    {
        const char* name;
        std::vector<std::string> first;
        std::vector<std::string> second;
        token_count cached;
    };
    const std::string head = make_text("h", 20);
    const std::string first_completion = completion_text(std::vector{head}, 4);
    const std::array table{
        row{"different prompt", {head}, {make_text("other", 20)}, 0}, row{"same prompt", {head}, {head}, 20},
        row{"extended prompt", {head}, {head, make_text("t", 5)}, 20},
        row{"prompt including the completion", {head}, {head, first_completion, make_text("t", 5)}, 24},
        row{"shared segment not at the start", {head}, {make_text("t", 5), head}, 0}};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        engine_model engine{small_engine};
        engine.start(make_request("a", it.first, 4), {});
        run_until_idle(engine);
        engine.start(make_request("b", it.second, 1), core_time{1s});
        CHECK(run_until_idle(engine).at("b").usage.cached == it.cached);
        CHECK(engine.counters().reused == it.cached);
        CHECK(engine.counters().recomputed == 0);
    }
}

TEST_CASE("engine model bounds its memory")
{
    engine_model engine{small_engine};
    SUBCASE("the least recently used prefix is evicted first, and its recomputation is counted")
    {
        core_time now;
        for (const auto* name : {"a", "b", "a", "c"})
        {
            now += 1s;
            engine.start(make_request(name, {make_text(name, 40)}, 2), now);
            run_until_idle(engine);
            CHECK(engine.load().cache_used <= small_engine.cache_capacity);
        }
        CHECK(engine.counters().evicted_unused == 42);
        engine.start(make_request("a", {make_text("a", 40)}, 1), core_time{11s});
        CHECK(run_until_idle(engine).at("a").usage.cached == 40);
        engine.start(make_request("b", {make_text("b", 40)}, 1), core_time{12s});
        CHECK(run_until_idle(engine).at("b").usage.cached == 0);
        CHECK(engine.counters().recomputed == 40);
    }
    SUBCASE("programs with a common prefix share its memory")
    {
        engine.start(make_request("a", {make_text("h", 60), "x"}, 1), {});
        engine.start(make_request("b", {make_text("h", 60), "y"}, 1), {});
        run_until_idle(engine);
        CHECK(engine.load().cache_used == 64);
        CHECK(engine.cached_programs().size() == 2);
        engine.free_program({"program-a"});
        CHECK(engine.load().cache_used == 62);
        engine.free_program({"program-b"});
        CHECK(engine.load().cache_used == 0);
        CHECK(engine.cached_programs().empty());
    }
    SUBCASE("a request over the memory capacity is rejected, and the next one proceeds")
    {
        engine.start(make_request("a", {make_text("x", 99)}, 2), {});
        engine.start(make_request("b", {make_text("y", 9)}, 2), {});
        const auto results = run_until_idle(engine);
        CHECK(results.at("a").too_long);
        CHECK_FALSE(results.at("b").too_long);
    }
    SUBCASE("a sequence queues until enough memory is free")
    {
        engine.start(make_request("a", {make_text("x", 50)}, 10), {});
        engine.start(make_request("b", {make_text("y", 50)}, 10), {});
        CHECK(engine.load().running == 1);
        CHECK(run_until_idle(engine).size() == 2);
    }
}

TEST_CASE("engine model cancels streams and frees their memory")
{
    struct row
    {
        const char* name;
        core_time at;
    };
    constexpr std::array table{row{"during prefill", core_time{15ms}},
                               row{"during decoding", core_time{60ms}}};
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        engine_model engine{small_engine};
        engine.start(make_request("a", {make_text("x", 30)}, 20), {});
        engine.advance(it.at);
        CHECK(engine.load().cache_used == 50);
        CHECK(engine.cancel({"a"}, it.at));
        CHECK_FALSE(engine.cancel({"a"}, it.at));
        engine.free_program({"program-a"});
        CHECK(engine.load().cache_used == 0);
        CHECK(run_until_idle(engine).empty());
    }
    SUBCASE("a queued stream can be cancelled")
    {
        engine_model engine{small_engine};
        for (const auto* name : {"a", "b", "c"})
        {
            engine.start(make_request(name, {make_text(name, 5)}, 5), {});
        }
        CHECK(engine.cancel({"c"}, {}));
        CHECK(run_until_idle(engine).size() == 2);
    }
    SUBCASE("memory of a running stream is freed only after the stream ends")
    {
        engine_model engine{small_engine};
        engine.start(make_request("a", {make_text("x", 5)}, 5), {});
        engine.free_program({"program-a"});
        CHECK(run_until_idle(engine).at("a").usage.completion == 5);
        engine.free_program({"program-a"});
        CHECK(engine.load().cache_used == 0);
    }
}

TEST_CASE("engine model exports and imports prefixes")
{
    engine_model from{small_engine};
    engine_model to{small_engine};
    const std::vector prompt{make_text("x", 30), make_text("y", 10)};
    from.start(make_request("a", prompt, 5), {});
    run_until_idle(from);
    CHECK(to.import_prefix({"program-a"}, from.export_prefix({"program-a"}), {}));
    to.start(make_request("a", prompt, 1), core_time{1s});
    CHECK(run_until_idle(to).at("a").usage.cached == 40);
    CHECK_FALSE(to.import_prefix({"program-a"}, "not a prefix", {}));
}

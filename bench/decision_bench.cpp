// What one decision costs: placement by number of targets with all programs of the design size in the home's
// table, and the queue's push and pop by its length.
#include "masticcourse/policy/placement.hpp"
#include "masticcourse/policy/target_queue.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace
{

using namespace masticcourse;

constexpr std::size_t programs_under_way = 53'000;
constexpr core_time now = core_time{} + std::chrono::seconds{10};

struct program_row
{
    std::vector<cached_prefix> cached;
    std::optional<std::size_t> last;
};

std::vector<target_view> make_targets(std::size_t count, std::mt19937_64& random)
{
    std::vector<target_view> targets;
    for (std::size_t n = 0; n < count; ++n)
    {
        target_view view{.name = {"target-" + std::to_string(n)},
                         .failure_domain = {"domain-" + std::to_string(n % 5)},
                         .report_time = now};
        view.report.queued_prefill = static_cast<token_count>(random() % 20'000);
        view.report.queued_decode = static_cast<token_count>(random() % 2'000);
        view.report.prefill_rate = 8'000;
        view.report.decode_rate = 700;
        targets.push_back(view);
    }
    return targets;
}

std::vector<program_id> make_ids()
{
    std::vector<program_id> ids;
    for (std::size_t n = 0; n < programs_under_way; ++n)
    {
        ids.push_back({"program-" + std::to_string(n)});
    }
    return ids;
}

void placement(benchmark::State& state)
{
    std::mt19937_64 random{1};
    const auto count = static_cast<std::size_t>(state.range(0));
    const auto targets = make_targets(count, random);
    const auto ids = make_ids();
    std::unordered_map<program_id, program_row> programs;
    for (const auto& id : ids)
    {
        const std::size_t last = random() % count;
        programs[id] = {{{last, 6'000}, {random() % count, 2'000}}, last};
    }
    const placement_options options{.policy = earliest_finish{}};
    std::uint64_t sequence = 0;
    for (auto _ : state)
    {
        const auto& id = ids[random() % ids.size()];
        const auto& row = programs.at(id);
        const placement_query query{.program = id,
                                    .prompt_tokens = 6'200,
                                    .expected_completion_tokens = 100,
                                    .cached = row.cached,
                                    .local_domain = {"domain-1"},
                                    .previous_target = row.last,
                                    .sequence = sequence++};
        benchmark::DoNotOptimize(choose_target(query, targets, now, options));
    }
}

void queue_push_pop(benchmark::State& state)
{
    std::mt19937_64 random{1};
    target_queue queue;
    std::uint64_t number = 0;
    const auto push = [&]
    {
        waiting_call call{.call = {{"program-" + std::to_string(number++)}, {"k"}},
                          .workspace = {"workspace-" + std::to_string(random() % 16)},
                          .priority = static_cast<service_class>(random() % 3),
                          .attained = static_cast<token_count>(random() % 100'000),
                          .prompt_tokens = 500,
                          .max_tokens = 100};
        call.arrived = core_time{} + std::chrono::microseconds{number};
        queue.push(std::move(call));
    };
    for (std::int64_t n = 0; n < state.range(0); ++n)
    {
        push();
    }
    for (auto _ : state)
    {
        push();
        benchmark::DoNotOptimize(queue.pop(now));
    }
}

} // namespace

BENCHMARK(placement)->Arg(75)->Arg(150)->Arg(300)->Arg(600);
BENCHMARK(queue_push_pop)->Arg(16)->Arg(256)->Arg(4096)->Arg(16384);
BENCHMARK_MAIN();

// The long randomised run in virtual time. Each scenario runs the real state machines against faulty
// stand-ins and an oracle; a violation is printed with the seed that shows it again.
#include "support/chaos.hpp"
#include "support/state_world.hpp"

#include "masticcourse/core/invariant.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <source_location>
#include <string>
#include <string_view>
#include <vector>

using namespace masticcourse;

namespace
{

/// What one seed of one scenario came to.
struct soak_result
{
    std::vector<std::string> violations;
    core_duration elapsed{};
    std::uint64_t faults = 0;
    std::uint64_t acknowledged = 0;
    /// What else happened in the run, by name.
    std::map<std::string, std::uint64_t> counts;
};

struct soak_scenario
{
    std::string_view name;
    /// The seeds that CI runs.
    std::uint64_t first_fixed = 1;
    std::uint64_t fixed_seeds = 0;
    std::function<soak_result(std::uint64_t seed)> run;
};

std::uint64_t faults_of(tests::state_world& world)
{
    const auto& fates = world.store().outcome_counts();
    const auto& counts = world.counts();
    return std::accumulate(fates.begin() + 1, fates.end(), std::uint64_t{0}) + counts.crashes +
           counts.freezes + counts.outages;
}

soak_result run_state(std::uint64_t seed, tests::world_options options, int steps)
{
    tests::state_world world(seed, options);
    for (int n = 0; n < steps; ++n)
    {
        world.step();
    }
    world.settle();
    return {.violations = world.oracle().violations(),
            .elapsed = world.elapsed(),
            .faults = faults_of(world),
            .acknowledged = world.oracle().acknowledged_turns(),
            .counts = {{"takeovers", world.oracle().takeovers()},
                       {"sealed_homes", world.counts().sealed_homes},
                       {"releases", world.counts().releases},
                       {"checkpoints", world.counts().checkpoints},
                       {"cleaned_entries", world.counts().cleaned_entries},
                       {"accepted_patches", world.accepted_patches()}}};
}

soak_result run_storm(std::uint64_t seed)
{
    return run_state(seed,
                     {.homes = 3,
                      .shards = 2,
                      .crash = 15,
                      .freeze = 20,
                      .outage = 3,
                      .bad_fate = 400,
                      .wrong_suspicion = 300},
                     3000);
}

/// The cores of the daemons, with fakes at their interfaces.
soak_result run_cores(std::uint64_t seed)
{
    const auto it = tests::run_chaos({.seed = seed});
    return {.violations = it.violations,
            .elapsed = it.elapsed,
            .faults = it.faults,
            .acknowledged = it.turns,
            .counts = {{"takeovers", it.takeovers},
                       {"unknown_turns", it.unknown_turns},
                       {"pending_lost", it.pending_lost},
                       {"refusals", it.refusals}}};
}

/// All scenarios. CI runs the cores' seeds 1 to 100 in test_system, so here the next ones.
const std::array scenarios{
    soak_scenario{"homes", 1, 200, [](std::uint64_t seed) { return run_state(seed, {}, 6000); }},
    soak_scenario{"storms", 1, 200, run_storm},
    soak_scenario{"cores", 101, 30, run_cores},
};

struct soak_totals
{
    std::uint64_t seeds = 0;
    std::uint64_t failed = 0;
    soak_result sum;
};

/// Runs a scenario, and counts the invariants that the program itself saw violated.
soak_result run_checked(const soak_scenario& scenario, std::uint64_t seed)
{
    const std::uint64_t before = invariant_violations();
    soak_result it = scenario.run(seed);
    if (invariant_violations() != before)
    {
        it.violations.emplace_back("an invariant of the program, named above");
    }
    return it;
}

void run_seed(const soak_scenario& scenario, std::uint64_t seed, soak_totals& totals)
{
    const soak_result it = run_checked(scenario, seed);
    ++totals.seeds;
    totals.failed += it.violations.empty() ? 0 : 1;
    totals.sum.elapsed += it.elapsed;
    totals.sum.faults += it.faults;
    totals.sum.acknowledged += it.acknowledged;
    std::ranges::for_each(it.counts, [&](const auto& each) { totals.sum.counts[each.first] += each.second; });
    if (!it.violations.empty())
    {
        std::cout << "FAILED scenario=" << scenario.name << " seed=" << seed
                  << " violations=" << it.violations.size() << " first=\"" << it.violations.front() << "\"\n";
    }
}

int report(std::uint64_t first_seed, const soak_totals& totals)
{
    const std::chrono::duration<double, std::ratio<3600>> hours = totals.sum.elapsed;
    std::cout << "soak: first_seed=" << first_seed << " runs=" << totals.seeds << " failed=" << totals.failed
              << " faults=" << totals.sum.faults << " acknowledged_turns=" << totals.sum.acknowledged
              << " virtual_hours=" << hours.count();
    for (const auto& [name, count] : totals.sum.counts)
    {
        std::cout << ' ' << name << '=' << count;
    }
    std::cout << '\n';
    return totals.failed == 0 ? 0 : 1;
}

/// CI's run: the same seeds each time, whatever the machine's speed.
int run_fixed()
{
    soak_totals totals;
    for (const auto& scenario : scenarios)
    {
        for (std::uint64_t n = 0; n < scenario.fixed_seeds; ++n)
        {
            run_seed(scenario, scenario.first_fixed + n, totals);
        }
    }
    return report(1, totals);
}

int run_for(std::uint64_t first_seed, std::chrono::seconds length)
{
    soak_totals totals;
    const auto end = std::chrono::steady_clock::now() + length;
    for (std::uint64_t seed = first_seed; std::chrono::steady_clock::now() < end; ++seed)
    {
        std::ranges::for_each(scenarios, [&](const soak_scenario& it) { run_seed(it, seed, totals); });
    }
    return report(first_seed, totals);
}

/// One seed alone, with all its violations.
int run_one(std::uint64_t seed)
{
    bool good = true;
    for (const auto& scenario : scenarios)
    {
        for (const auto& it : run_checked(scenario, seed).violations)
        {
            std::cout << scenario.name << ": " << it << '\n';
            good = false;
        }
    }
    return good ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
try
{
    // A violated invariant fails its seed and not the whole run.
    set_invariant_handler(
        [](std::string_view message, const std::source_location& where)
        { std::cout << "invariant: " << message << " at " << where.function_name() << '\n'; });
    namespace options = boost::program_options;
    options::options_description known("soak");
    known.add_options()("help", "show this")("fixed", "run the fixed seeds of CI")(
        "one", options::value<std::uint64_t>(), "run one seed and list its violations")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "the first seed")("seconds", options::value<std::int64_t>()->default_value(10),
                          "how long to go on with the next seeds");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, known), given);
    if (given.contains("help"))
    {
        std::cout << known;
        return 0;
    }
    if (given.contains("fixed"))
    {
        return run_fixed();
    }
    if (given.contains("one"))
    {
        return run_one(given["one"].as<std::uint64_t>());
    }
    return run_for(given["seed"].as<std::uint64_t>(),
                   std::chrono::seconds{given["seconds"].as<std::int64_t>()});
}
catch (const std::exception& error)
{
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
}

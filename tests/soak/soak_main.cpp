// The long randomised run in virtual time. Each scenario runs the real state machines against faulty
// stand-ins and an oracle; a violation is printed with the seed that shows it again.
#include "support/state_world.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <numeric>
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
    std::uint64_t takeovers = 0;
};

struct soak_scenario
{
    std::string_view name;
    std::function<soak_result(std::uint64_t seed)> run;
};

std::uint64_t faults_of(tests::state_world& world)
{
    const auto& fates = world.store().fates();
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
            .takeovers = world.oracle().takeovers()};
}

/// All scenarios; another core joins the soak by a row here.
const std::array scenarios{
    soak_scenario{"homes", [](std::uint64_t seed) { return run_state(seed, {}, 6000); }},
    soak_scenario{"storms",
                  [](std::uint64_t seed)
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
                  }},
};

struct soak_totals
{
    std::uint64_t seeds = 0;
    std::uint64_t failed = 0;
    soak_result sum;
};

void run_seed(std::uint64_t seed, soak_totals& totals)
{
    for (const auto& scenario : scenarios)
    {
        const soak_result it = scenario.run(seed);
        ++totals.seeds;
        totals.failed += it.violations.empty() ? 0 : 1;
        totals.sum.elapsed += it.elapsed;
        totals.sum.faults += it.faults;
        totals.sum.acknowledged += it.acknowledged;
        totals.sum.takeovers += it.takeovers;
        if (!it.violations.empty())
        {
            std::cout << "FAILED scenario=" << scenario.name << " seed=" << seed
                      << " violations=" << it.violations.size() << " first=\"" << it.violations.front()
                      << "\"\n";
        }
    }
}

int report(std::uint64_t first_seed, const soak_totals& totals)
{
    const std::chrono::duration<double, std::ratio<3600>> hours = totals.sum.elapsed;
    std::cout << "soak: first_seed=" << first_seed << " runs=" << totals.seeds << " failed=" << totals.failed
              << " faults=" << totals.sum.faults << " takeovers=" << totals.sum.takeovers
              << " acknowledged_turns=" << totals.sum.acknowledged << " virtual_hours=" << hours.count()
              << '\n';
    return totals.failed == 0 ? 0 : 1;
}

constexpr std::uint64_t fixed_seeds = 200;

/// CI's run: the same seeds each time, whatever the machine's speed.
int run_fixed()
{
    soak_totals totals;
    for (std::uint64_t seed = 1; seed <= fixed_seeds; ++seed)
    {
        run_seed(seed, totals);
    }
    return report(1, totals);
}

int run_for(std::uint64_t first_seed, std::chrono::seconds length)
{
    soak_totals totals;
    const auto end = std::chrono::steady_clock::now() + length;
    for (std::uint64_t seed = first_seed; std::chrono::steady_clock::now() < end; ++seed)
    {
        run_seed(seed, totals);
    }
    return report(first_seed, totals);
}

/// One seed alone, with all its violations.
int run_one(std::uint64_t seed)
{
    bool good = true;
    for (const auto& scenario : scenarios)
    {
        for (const auto& it : scenario.run(seed).violations)
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

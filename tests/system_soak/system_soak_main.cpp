// The long randomised run of the real control cores. Prints each seed that fails, and sums at the end.
#include "support/chaos.hpp"

#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>
#include <numeric>
#include <string>
#include <vector>

namespace
{

namespace po = boost::program_options;

struct arguments
{
    std::uint64_t first = 1;
    std::uint64_t seeds = 100;
    std::vector<std::uint64_t> list;
    bool trace = false;
};

bool read(int argc, char** argv, arguments& to)
{
    po::options_description options{"Randomised runs of the real control cores in virtual time"};
    options.add_options()("help", "show this help");
    options.add_options()("seed", po::value(&to.first)->default_value(to.first), "the first seed");
    options.add_options()("seeds", po::value(&to.seeds)->default_value(to.seeds), "how many seeds");
    options.add_options()("list", po::value(&to.list)->multitoken(), "these seeds, in place of a range");
    options.add_options()("trace", po::bool_switch(&to.trace), "print the events of failing runs");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    if (values.count("help") > 0)
    {
        std::cout << options;
        return false;
    }
    return true;
}

std::vector<std::uint64_t> seeds_of(const arguments& given)
{
    if (!given.list.empty())
    {
        return given.list;
    }
    std::vector<std::uint64_t> range(given.seeds);
    std::iota(range.begin(), range.end(), given.first);
    return range;
}

/// @return how many seeds failed
std::uint64_t run(const arguments& given)
{
    std::uint64_t failed = 0;
    masticcourse::tests::chaos_report sum;
    const auto seeds = seeds_of(given);
    for (const auto seed : seeds)
    {
        const auto report = masticcourse::tests::run_chaos({.seed = seed, .keep_trace = given.trace});
        failed += report.violations.empty() ? 0 : 1;
        for (const auto& it : report.violations)
        {
            std::cout << "seed " << seed << ": " << it << '\n';
        }
        std::cout << report.trace;
        sum.faults += report.faults;
        sum.turns += report.turns;
        sum.unknown_turns += report.unknown_turns;
        sum.pending_lost += report.pending_lost;
        sum.refusals += report.refusals;
        sum.takeovers += report.takeovers;
        sum.elapsed += report.elapsed;
    }
    constexpr double micros_per_hour = 3.6e9;
    std::cout << "seeds " << seeds.size() << ", failed " << failed << ", faults " << sum.faults << ", turns "
              << sum.turns << ", unknown " << sum.unknown_turns << ", pending turns lost " << sum.pending_lost
              << ", refusals " << sum.refusals << ", shards claimed " << sum.takeovers << ", virtual hours "
              << static_cast<double>(sum.elapsed.count()) / micros_per_hour << '\n';
    return failed;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        arguments given;
        return !read(argc, argv, given) || run(given) == 0 ? 0 : 1;
    }
    catch (const std::exception& error)
    {
        std::cerr << "system-soak: " << error.what() << '\n';
        return 2;
    }
}

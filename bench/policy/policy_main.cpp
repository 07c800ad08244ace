// policy_bench: prints one table, or checks the committed bounds.
#include "bounds.hpp"
#include "experiments.hpp"
#include "report.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace masticcourse;
using namespace masticcourse::bench;
namespace po = boost::program_options;

struct command
{
    std::string table;
    std::string bounds;
    std::string csv;
    experiment plan;
};

/// The systems of a table.
std::vector<system_options> systems_of(const std::string& table)
{
    std::vector<system_options> systems;
    if (table == "loads" || table == "check" || table == "faults")
    {
        systems = baseline_systems();
    }
    else
    {
        systems = ablated_systems();
    }
    systems.push_back(masticcourse_system());
    return systems;
}

command parse(int argc, const char* const* argv)
{
    command it;
    double arrivals = 0;
    token_count cache = 0;
    po::options_description options{"policy_bench"};
    auto add = options.add_options();
    add("table", po::value(&it.table)->default_value("loads"),
        "loads, ablations, faults, fault-ablations, or check (the bounds)");
    add("mix", po::value(&it.plan.mixes)->multitoken(), "atlas, urad, held_out");
    add("load", po::value(&it.plan.loads)->multitoken(), "parts of capacity");
    add("seed", po::value(&it.plan.seeds)->multitoken(), "seeds of arrivals");
    add("fault", po::value(&it.plan.fault), "part of the names of the faults to run");
    add("arrivals", po::value(&arrivals)->default_value(600), "seconds in which programs arrive");
    add("jobs", po::value(&it.plan.jobs)->default_value(1), "runs at once");
    add("cache", po::value(&cache)->default_value(0), "tokens of memory of each engine");
    add("bounds", po::value(&it.bounds), "the file of bounds");
    add("csv", po::value(&it.csv), "also writes the table here");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
    it.plan.arrivals = std::chrono::duration_cast<core_duration>(std::chrono::duration<double>{arrivals});
    it.plan.systems = systems_of(it.table);
    if (cache > 0)
    {
        std::ranges::for_each(it.plan.systems, [cache](auto& system) { system.cache_capacity = cache; });
    }
    return it;
}

template <typename Rows, typename Write>
void print(const command& given, const Rows& rows, Write write)
{
    write(std::cout, rows, table_format::markdown);
    if (!given.csv.empty())
    {
        std::ofstream file{given.csv};
        write(file, rows, table_format::csv);
    }
}

int run(const command& given)
{
    if (given.table == "faults" || given.table == "fault-ablations")
    {
        print(given, run_faults(given.plan), write_faults);
        return 0;
    }
    const auto rows = run_loads(given.plan);
    print(given, rows, write_loads);
    if (given.table != "check")
    {
        return 0;
    }
    std::ifstream file{given.bounds};
    return check_bounds(read_bounds(file), rows, std::cout) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(parse(argc, argv));
    }
    catch (const std::exception& ex)
    {
        std::cerr << "policy_bench: " << ex.what() << '\n';
        return 2;
    }
}

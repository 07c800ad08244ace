#include "experiments.hpp"

#include "workload.hpp"
#include "world.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace masticcourse::bench
{

namespace
{

using std::chrono::seconds;

/// The fault of every fault run: it begins once the fleet is full, and lasts a minute.
constexpr core_time fault_begins = core_time{} + seconds{250};
constexpr core_time fault_ends = fault_begins + seconds{60};

/// Runs all tasks, some at once.
void run_all(const std::vector<std::function<void()>>& tasks, unsigned jobs)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> workers;
    for (unsigned n = 0; n < std::max(jobs, 1U); ++n)
    {
        workers.emplace_back(
            [&]
            {
                for (std::size_t it = next++; it < tasks.size(); it = next++)
                {
                    tasks[it]();
                }
            });
    }
}

std::vector<fault_plan> all_faults()
{
    const auto make = [](fault_kind kind, const char* name)
    { return fault_plan{.kind = kind, .name = name, .begins = fault_begins, .ends = fault_ends}; };
    return {make(fault_kind::slow, "a target at a tenth"),     make(fault_kind::dies, "a target dies"),
            make(fault_kind::leaves, "a target leaves"),       make(fault_kind::errors, "a target errs"),
            make(fault_kind::domain, "a failure domain goes"), make(fault_kind::silence, "reports stop")};
}

/// Runs one system with each seed and gives each record, with its programs still there, to @a use.
template <typename Use>
void each_seed(const experiment& plan, const system_options& system, const std::string& mix, double load,
               const fault_plan& fault, Use use)
{
    for (const std::uint64_t seed : plan.seeds)
    {
        const auto programs =
            make_workload({.mix = mix, .seed = seed, .load = load, .arrivals = plan.arrivals});
        world run{system, programs, {.seed = seed, .arrivals = plan.arrivals, .fault = fault}};
        use(run.run());
    }
}

} // namespace

std::vector<load_row> run_loads(const experiment& plan)
{
    std::vector<load_row> rows;
    std::vector<std::function<void()>> tasks;
    rows.reserve(plan.mixes.size() * plan.loads.size() * plan.systems.size());
    for (const auto& mix : plan.mixes)
    {
        for (const double load : plan.loads)
        {
            for (const auto& system : plan.systems)
            {
                auto& row = rows.emplace_back(load_row{mix, load, system.name, {}});
                tasks.emplace_back(
                    [&]
                    {
                        std::vector<run_summary> runs;
                        each_seed(plan, system, mix, row.load, {},
                                  [&](const run_record& record) { runs.push_back(summarise(record)); });
                        row.summary = mean_of(runs);
                    });
            }
        }
    }
    run_all(tasks, plan.jobs);
    return rows;
}

std::vector<fault_row> run_faults(const experiment& plan)
{
    auto faults = all_faults();
    std::erase_if(faults,
                  [&](const fault_plan& it) { return it.name.find(plan.fault) == std::string::npos; });
    std::vector<fault_row> rows;
    std::vector<std::function<void()>> tasks;
    rows.reserve(plan.mixes.size() * faults.size() * plan.systems.size());
    for (const auto& mix : plan.mixes)
    {
        for (const auto& fault : faults)
        {
            for (const auto& system : plan.systems)
            {
                auto& row = rows.emplace_back(fault_row{mix, fault.name, system.name, {}});
                tasks.emplace_back(
                    [&]
                    {
                        std::vector<fault_summary> runs;
                        each_seed(plan, system, mix, plan.loads.front(), fault,
                                  [&](const run_record& record)
                                  { runs.push_back(summarise_fault(record, fault.begins, fault.ends)); });
                        row.summary = mean_of(runs);
                    });
            }
        }
    }
    run_all(tasks, plan.jobs);
    return rows;
}

} // namespace masticcourse::bench

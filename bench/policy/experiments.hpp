/// @file
/// The runs of the benchmark: which systems meet which arrivals and faults.
#pragma once

#include "faults.hpp"
#include "measures.hpp"
#include "system_options.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticcourse::bench
{

/// One row of a table: one system under one load, as the mean over seeds.
struct load_row
{
    std::string mix;
    double load = 0;
    std::string system;
    run_summary summary;
};

struct fault_row
{
    std::string mix;
    std::string fault;
    std::string system;
    fault_summary summary;
};

struct experiment
{
    std::vector<std::string> mixes;
    std::vector<double> loads;
    std::vector<std::uint64_t> seeds;
    std::vector<system_options> systems;
    /// Part of the names of the faults to run; empty for all.
    std::string fault;
    core_duration arrivals = std::chrono::seconds{600};
    /// Runs at once; the results don't depend on it.
    unsigned jobs = 1;
};

[[nodiscard]] std::vector<load_row> run_loads(const experiment& plan);

/// Runs each fault at the first of the loads.
[[nodiscard]] std::vector<fault_row> run_faults(const experiment& plan);

} // namespace masticcourse::bench

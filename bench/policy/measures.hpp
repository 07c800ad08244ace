/// @file
/// What one run of the benchmark measures.
#pragma once

#include "masticcourse/core/clock.hpp"
#include "masticcourse/core/ids.hpp"
#include "masticcourse/model/call.hpp"
#include "workload.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace masticcourse::bench
{

/// Counts waste by what calls found cached, so that it is the same measure for every policy.
/// Recomputed: tokens computed that any target had held once. Unused: tokens held at a target that no call
/// found there before they were dropped or the program ended elsewhere. What a program's last call leaves is
/// no waste.
class waste_counter
{
  public:
    /// A call has ended.
    /// @param known leading tokens of the prompt that had been computed before, anywhere
    void on_call(const program_id& program, std::size_t target, const token_usage& usage, token_count known);

    void on_end(const program_id& program);

    [[nodiscard]] token_count recomputed() const
    {
        return m_recomputed;
    }

    [[nodiscard]] token_count unused() const
    {
        return m_unused;
    }

  private:
    struct copy
    {
        token_count stored = 0;
        token_count found = 0;
    };

    struct copies
    {
        std::map<std::size_t, copy> at;
        std::size_t last = 0;
    };

    std::map<program_id, copies> m_programs;
    token_count m_recomputed = 0;
    token_count m_unused = 0;
};

/// One program's end.
struct program_end
{
    const program_plan* plan = nullptr;
    core_duration latency{};
    /// False if its caller gave up or the run ended first; the latency is the run's end then.
    bool finished = false;
};

/// One model call's end.
struct call_end
{
    core_time at;
    core_duration latency{};
};

/// The raw measurements of one run.
struct run_record
{
    std::vector<program_end> programs;
    std::vector<call_end> calls;
    std::uint64_t refusals = 0;
    std::uint64_t retries = 0;
    std::uint64_t given_up = 0;
    token_count computed = 0;
    token_count recomputed = 0;
    token_count unused = 0;
    token_count reused = 0;
    core_duration arrivals{};
    std::size_t targets = 0;
};

/// The table row of one run.
struct run_summary
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    /// The 95th percentile over the programs that finished.
    double finished_p95 = 0;
    /// The part of the programs with a deadline that met it.
    double deadlines_met = 0;
    /// The 95th percentile of latency less planned pauses.
    double waiting_p95 = 0;
    /// The mean of latency less pauses, as a multiple of the same on an idle machine.
    double slowdown = 0;
    /// The same over the first class: assistance.
    double assistance = 0;
    /// Thousands of tokens, per program.
    double recomputed = 0;
    double unused = 0;
    /// Engine time of programs that finished in time, as a part of all engine time while programs arrived.
    double goodput = 0;
    double refused = 0;
    /// The part of all programs that did not finish.
    double unfinished = 0;
    /// Jain's index of the workspaces' mean slowdowns: 1 is even.
    double fairness = 0;

    [[nodiscard]] double wasted() const
    {
        return recomputed + unused;
    }
};

/// @return the value below which @a part of @a values lie; 0 if there are none
[[nodiscard]] double quantile(std::vector<double> values, double part);

/// What a fault did to calls: the 95th percentile of their latency, in seconds.
struct fault_summary
{
    double before = 0;
    double during = 0;
    double after = 0;
    /// How long after the fault began until ten seconds passed that were as good as before, for good.
    double recovery = 0;
    /// Programs whose calls ran into the fault: the 95th percentile of their latency.
    double program_p95 = 0;
    double unfinished = 0;
};

[[nodiscard]] fault_summary summarise_fault(const run_record& record, core_time begins, core_time ends);

[[nodiscard]] run_summary summarise(const run_record& record);

/// @return the mean of each column
[[nodiscard]] run_summary mean_of(const std::vector<run_summary>& runs);
[[nodiscard]] fault_summary mean_of(const std::vector<fault_summary>& runs);

} // namespace masticcourse::bench

// What the state costs the platform's store, in operations and not in seconds: the same on every machine.
// Prints one table per question; docs/design/state.md carries the figures.
#include "faulty_store.hpp"

#include "masticcourse/state/budget_ledger.hpp"
#include "masticcourse/state/journal_writer.hpp"
#include "masticcourse/state/recovered_journals.hpp"
#include "masticcourse/state/shard_claim.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;
using standins::faulty_store;

namespace
{

/// How long the platform takes for one write, in these runs.
constexpr core_duration store_latency = 8ms;
constexpr core_duration run_length = 10s;
constexpr std::size_t turn_bytes = 2000;

journal_record turn_record(std::uint64_t n)
{
    const program_id program{"program-" + std::to_string(n % 1000)};
    return {.shard = static_cast<shard_index>(n % 64),
            .epoch = 1,
            .payload = turn_committed{.program = program,
                                      .finished = {.number = static_cast<std::uint32_t>(n),
                                                   .outcome = {.output = std::string(turn_bytes, 'x')}}}};
}

struct commit_cost
{
    double writes_per_second = 0;
    double bytes_per_write = 0;
    /// From append to durable, for the record at rank 50 and 99 of 100.
    core_duration median{};
    core_duration slowest{};
};

struct bench_process
{
    std::unique_ptr<journal_writer> writer;
    /// Answers that come at a later time: (time, bytes).
    std::optional<core_time> answer_at;
    std::vector<core_time> appended;
    journal_ticket seen = 0;
};

class commit_run
{
  public:
    commit_run(std::size_t processes, std::uint64_t requests_per_second, core_duration min_gap)
        : m_between(core_duration{1s} / static_cast<std::int64_t>(requests_per_second))
    {
        m_processes.resize(processes);
        for (std::size_t n = 0; n < processes; ++n)
        {
            m_processes[n].writer = std::make_unique<journal_writer>(
                incarnation_id{"home-" + std::to_string(n)}, journal_options{.min_gap = min_gap});
        }
    }

    commit_cost run()
    {
        core_time next_request{};
        for (core_time now{}; now < core_time{run_length}; now += 100us)
        {
            for (; next_request <= now; next_request += m_between)
            {
                append_one(now);
            }
            std::ranges::for_each(m_processes, [&](bench_process& it) { advance(it, now); });
        }
        return cost();
    }

  private:
    void append_one(core_time now)
    {
        bench_process& it = m_processes[m_requests % m_processes.size()];
        it.writer->append(turn_record(m_requests), now);
        it.appended.push_back(now);
        ++m_requests;
    }

    void advance(bench_process& it, core_time now)
    {
        if (it.answer_at && now >= *it.answer_at)
        {
            it.answer_at.reset();
            it.writer->on_reply({}, now);
            for (; it.seen < it.writer->durable(); ++it.seen)
            {
                m_delays.push_back(now - it.appended[it.seen]);
            }
        }
        if (const auto op = it.writer->poll(now))
        {
            ++m_writes;
            m_bytes += std::get<object_create>(*op).bytes.size();
            it.answer_at = now + store_latency;
        }
    }

    commit_cost cost()
    {
        std::ranges::sort(m_delays);
        const double seconds = std::chrono::duration<double>(run_length).count();
        return {.writes_per_second = static_cast<double>(m_writes) / seconds,
                .bytes_per_write =
                    static_cast<double>(m_bytes) / static_cast<double>(std::max<std::uint64_t>(m_writes, 1)),
                .median = m_delays.empty() ? 0us : m_delays[m_delays.size() / 2],
                .slowest = m_delays.empty() ? 0us : m_delays[m_delays.size() * 99 / 100]};
    }

    core_duration m_between;
    std::vector<bench_process> m_processes;
    std::uint64_t m_requests = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytes = 0;
    std::vector<core_duration> m_delays;
};

void print_commit(std::size_t processes, std::uint64_t requests, core_duration gap)
{
    const commit_cost it = commit_run(processes, requests, gap).run();
    const auto ms = [](core_duration d) { return std::chrono::duration<double, std::milli>(d).count(); };
    std::cout << std::setw(10) << processes << std::setw(12) << requests << std::setw(10) << ms(gap)
              << std::setw(12) << it.writes_per_second << std::setw(14) << it.bytes_per_write << std::setw(12)
              << ms(it.median) << std::setw(12) << ms(it.slowest) << '\n';
}

void commits()
{
    std::cout << "group commit: " << turn_bytes << "-byte turns, the store answers a write after 8 ms\n"
              << " processes  requests/s    gap ms    writes/s   bytes/write   p50 ms     p99 ms\n";
    for (const std::size_t processes : {4U, 8U, 16U, 32U})
    {
        print_commit(processes, 1000, 50ms);
    }
    for (const std::uint64_t requests : {250U, 500U, 1000U, 5100U})
    {
        print_commit(8, requests, 50ms);
    }
    for (const auto gap : {0ms, 20ms, 100ms, 1000ms})
    {
        print_commit(8, 1000, gap);
    }
}

struct takeover_cost
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t records = 0;
};

/// One dead owner of so many programs, of which each wrote some turns since the last checkpoint.
takeover_cost take_over(std::uint64_t programs, std::uint64_t turns, std::uint64_t records_per_entry)
{
    constexpr shard_index shards = 64;
    core_time now{};
    faulty_store store;
    const incarnation_id dead{"dead"};
    std::uint64_t index = 0;
    journal_entry entry{.journal = dead, .writer = dead};
    const auto flush = [&]
    {
        entry.index = ++index;
        static_cast<void>(store.store().apply(object_create{journal_key(dead, index), encode(entry)}, now));
        entry.records.clear();
    };
    for (std::uint64_t n = 0; n < programs * turns; ++n)
    {
        const program_id program{"program-" + std::to_string(n % programs)};
        entry.records.push_back(
            {.shard = shard_of(program, shards), .epoch = 1, .payload = program_ended{program}});
        if (entry.records.size() == records_per_entry)
        {
            flush();
        }
    }
    if (!entry.records.empty())
    {
        flush();
    }
    for (shard_index n = 0; n < shards; ++n)
    {
        const shard_row row{.shard = n, .epoch = 1, .owner = dead, .parts = {{.journal = dead}}};
        static_cast<void>(store.store().apply(table_put{shard_key(n), encode(row)}, now));
    }
    const auto before = store.store().stats();
    recovered_journals journals({"successor"}, {});
    takeover_cost result;
    for (shard_index n = 0; n < shards; ++n)
    {
        shard_claim claim(n,
                          {.incarnation = {"successor"},
                           .may_take = [](const shard_row&) { return true; },
                           .next_index = [] { return std::uint64_t{1}; }},
                          journals);
        while (claim.state() == claim_state::claiming)
        {
            run_to_completion(claim, store, now);
            run_to_completion(journals, store, now);
        }
        result.records += claim.records().size();
    }
    result.reads = store.store().stats().reads - before.reads;
    result.writes = store.store().stats().writes - before.writes;
    return result;
}

void takeovers()
{
    std::cout << "takeover of one dead owner's 64 shards\n"
              << "  programs  turns each  records/entry     reads    writes   records\n";
    const auto print = [](std::uint64_t programs, std::uint64_t turns, std::uint64_t per_entry)
    {
        const takeover_cost it = take_over(programs, turns, per_entry);
        std::cout << std::setw(10) << programs << std::setw(12) << turns << std::setw(15) << per_entry
                  << std::setw(10) << it.reads << std::setw(10) << it.writes << std::setw(10) << it.records
                  << '\n';
    };
    for (const std::uint64_t programs : {125U, 250U, 500U, 1000U})
    {
        print(programs, 8, 32);
    }
    for (const std::uint64_t per_entry : {1U, 8U, 32U, 128U})
    {
        print(1000, 8, per_entry);
    }
}

/// Runs one program of 370 turns and asks before each call what a crash would strand.
void print_budget(token_count chunk)
{
    constexpr token_count budget = 1000000;
    constexpr token_count worst_case = 1000;
    constexpr int turns = 370;
    budget_ledger ledger({"program"}, budget, 0, 0, chunk);
    std::uint64_t records = 0;
    token_count at_risk = 0;
    token_count most_at_risk = 0;
    for (int n = 0; n < turns; ++n)
    {
        if (const auto total = ledger.needs_escrow(worst_case))
        {
            ++records;
            ledger.escrow_requested(*total);
            ledger.escrow_durable(*total);
        }
        const auto held = ledger.reserve(worst_case);
        at_risk += ledger.at_risk();
        most_at_risk = std::max(most_at_risk, ledger.at_risk());
        // Between a tenth and nine tenths of the worst case.
        ledger.settle(*held, worst_case / 10 + worst_case * 8 / 10 * (n % 9) / 8);
    }
    std::cout << std::setw(10) << chunk << std::setw(16) << records << std::setw(16) << at_risk / turns
              << std::setw(16) << most_at_risk << '\n';
}

void budgets()
{
    std::cout << "escrow of one program: 370 calls of at most 1000 tokens, 500 on average\n"
              << "     chunk  escrow records   mean stranded   most stranded\n";
    for (const token_count chunk : {1000, 4000, 16000, 64000})
    {
        print_budget(chunk);
    }
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(1);
    commits();
    takeovers();
    budgets();
    return 0;
}

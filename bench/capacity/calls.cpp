#include "experiments.hpp"
#include "measured_world.hpp"
#include "program_load.hpp"

#include "masticcourse/state/journal_record.hpp"

#include <ctime>
#include <string>

namespace masticcourse::capacity
{

namespace
{

using namespace std::chrono_literals;

void count_calls(series& into, tests::system_world& world, double size, std::size_t programs,
                 std::size_t turns)
{
    settle(world);
    program_load load(world);
    load.create(programs);
    const auto before = world.traffic();
    const auto start = world.now();
    load.run_turns(turns, 1ms);
    const std::chrono::duration<double> took = world.now() - start;
    const auto passed = since(world, before);
    const auto calls = static_cast<double>(programs * turns);
    const auto cpu = [](std::chrono::nanoseconds it) { return static_cast<double>(it.count()); };
    into.add("calls", "1/s", size, calls / took.count());
    into.add("messages under calls", "1/s", size, static_cast<double>(total(passed.messages)) / took.count());
    into.add("message bytes under calls", "B/s", size,
             static_cast<double>(total(passed.bytes)) / took.count());
    into.add("processor time of all entries under calls", "ns/s", size, cpu(passed.entry_cpu) / took.count());
    into.add("processor time of all targets under calls", "ns/s", size,
             cpu(passed.target_cpu) / took.count());
    into.add("processor time of entries per call", "ns", size, cpu(passed.entry_cpu) / calls);
    into.add("processor time of targets per call", "ns", size, cpu(passed.target_cpu) / calls);
    into.add("store writes under calls", "1/s", size,
             static_cast<double>(store_writes(passed)) / took.count());
    into.add("store reads under calls", "1/s", size, static_cast<double>(store_reads(passed)) / took.count());
    into.add("bytes written to the store per call", "bytes", size,
             static_cast<double>(passed.store_bytes) / calls);
    into.add("refusals", "count", size, static_cast<double>(load.refusals()));
}

series by_callers()
{
    series found("programs that call without pause, 2 entries, 8 targets");
    for (const std::size_t size : {4U, 8U, 16U, 32U})
    {
        auto options = daemon_options();
        options.entries = 2;
        options.models = 8;
        tests::system_world world(options);
        count_calls(found, world, static_cast<double>(size), size, 10);
    }
    return found;
}

series by_entries()
{
    series found("entries, 16 programs that call without pause");
    for (const std::size_t size : {1U, 2U, 4U, 8U})
    {
        auto options = daemon_options();
        options.entries = size;
        options.models = 8;
        tests::system_world world(options);
        count_calls(found, world, static_cast<double>(size), 16, 10);
    }
    return found;
}

series by_turns()
{
    series found("turns of each of 4 programs");
    for (const std::size_t size : {10U, 20U, 40U, 80U})
    {
        tests::system_world world(daemon_options());
        count_calls(found, world, static_cast<double>(size), 4, size);
    }
    return found;
}

/// One shard that writes its programs as snapshots after every 40 records.
series with_checkpoints()
{
    constexpr std::size_t records = 40;
    series found("turns of each of 4 programs, a checkpoint after every 40 records of their shard");
    for (const std::size_t size : {10U, 20U, 40U, 80U})
    {
        auto options = daemon_options();
        options.shards = 1;
        options.checkpoint_records = records;
        tests::system_world world(options);
        count_calls(found, world, static_cast<double>(size), 4, size);
    }
    return found;
}

/// Journal entries of so many records, encoded and decoded.
series journal_records()
{
    constexpr std::size_t text_bytes = 1000;
    constexpr int times = 200;
    series found("records of one journal entry (1,000-byte output each)");
    for (const std::size_t size : {16U, 64U, 256U, 1024U})
    {
        journal_entry entry{.journal = {"home"}, .writer = {"home"}, .index = 1};
        for (std::size_t n = 0; n < size; ++n)
        {
            entry.records.push_back(
                {.epoch = 1,
                 .payload = turn_committed{
                     .program = {"program-" + std::to_string(n)},
                     .finished = {.number = 1, .outcome = {.output = std::string(text_bytes, 'x')}}}});
        }
        std::size_t bytes = 0;
        const auto start = std::clock();
        for (int n = 0; n < times; ++n)
        {
            bytes = encode(entry).size();
        }
        const auto took = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / times;
        constexpr double nanoseconds = 1e9;
        found.add("journal entry, bytes", "bytes", static_cast<double>(size), static_cast<double>(bytes));
        found.add("journal entry, processor time to encode", "ns", static_cast<double>(size),
                  took * nanoseconds);
    }
    return found;
}

} // namespace

std::vector<measurement> measure_calls()
{
    std::vector<measurement> all;
    for (const auto& it : {by_callers(), by_entries(), by_turns(), with_checkpoints(), journal_records()})
    {
        all.insert(all.end(), it.all().begin(), it.all().end());
    }
    return all;
}

} // namespace masticcourse::capacity

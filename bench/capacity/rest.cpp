#include "experiments.hpp"
#include "measured_world.hpp"
#include "program_load.hpp"

namespace masticcourse::capacity
{

namespace
{

using namespace std::chrono_literals;

constexpr core_duration watched = 20s;
constexpr double seconds = 20;

void watch(series& into, tests::system_world& world, double size)
{
    const auto before = world.traffic();
    world.run_for(watched);
    const auto passed = since(world, before);
    const auto entries = static_cast<double>(world.options().entries);
    const auto targets = static_cast<double>(world.options().models);
    const auto messages = static_cast<double>(total(passed.messages));
    const auto cpu = [](std::chrono::nanoseconds it) { return static_cast<double>(it.count()); };
    const auto bytes_of = [&](const process_name& name)
    {
        const auto it = passed.of_process.find(name);
        return it != passed.of_process.end() ? static_cast<double>(it->second) : 0.0;
    };
    into.add("all control messages at rest", "1/s", size, messages / seconds);
    into.add("control bytes of an entry at rest", "B/s", size, bytes_of(world.entry_name(0)) / seconds);
    into.add("control bytes of a target at rest", "B/s", size, bytes_of(world.target_name(0)) / seconds);
    into.add("processor time of an entry at rest", "ns/s", size, cpu(passed.entry_cpu) / entries / seconds);
    into.add("processor time of a target at rest", "ns/s", size, cpu(passed.target_cpu) / targets / seconds);
    into.add("steps of an entry at rest", "1/s", size,
             static_cast<double>(passed.entry_steps) / entries / seconds);
    into.add("processor time of an entry's step at rest", "ns", size,
             cpu(passed.entry_cpu) / static_cast<double>(passed.entry_steps));
    into.add("processor time per message at rest, sender and receiver", "ns", size,
             (cpu(passed.entry_cpu) + cpu(passed.target_cpu)) / messages);
    into.add("store reads at rest", "1/s", size, static_cast<double>(store_reads(passed)) / seconds);
    into.add("store writes at rest", "1/s", size, static_cast<double>(store_writes(passed)) / seconds);
}

series by_programs()
{
    series found("programs that hold engine memory");
    for (const std::size_t size : {25U, 50U, 100U, 200U})
    {
        tests::system_world world(daemon_options());
        settle(world);
        program_load load(world);
        load.create(size);
        load.run_turns(1, 20ms);
        world.run_for(5s);
        watch(found, world, static_cast<double>(size));
    }
    return found;
}

} // namespace

std::vector<measurement> measure_rest()
{
    std::vector<measurement> all;
    for (const auto& it : {by_entries("entries", watch), by_targets("targets", watch), by_programs(),
                           by_shards("shards", watch)})
    {
        all.insert(all.end(), it.all().begin(), it.all().end());
    }
    return all;
}

} // namespace masticcourse::capacity

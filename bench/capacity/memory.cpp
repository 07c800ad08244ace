#include "experiments.hpp"
#include "heap_count.hpp"
#include "measured_world.hpp"
#include "program_load.hpp"

namespace masticcourse::capacity
{

namespace
{

using namespace std::chrono_literals;

void weigh(series& into, tests::system_world& world, double size)
{
    into.add("entry memory", "bytes", size, static_cast<double>(world.weigh_entry(0, heap_bytes)));
    into.add("target memory", "bytes", size, static_cast<double>(world.weigh_target(0, heap_bytes)));
}

series by_programs()
{
    series found("idle programs");
    for (const std::size_t size : {50U, 100U, 200U, 400U})
    {
        tests::system_world world(daemon_options());
        settle(world);
        program_load load(world);
        load.create(size);
        world.run_for(5s);
        weigh(found, world, static_cast<double>(size));
    }
    return found;
}

/// Takes turns and weighs what one program leaves at its home and at its target, and its last dispatch.
void weigh_history(series& into, double size, std::size_t turns, std::size_t input_bytes)
{
    constexpr std::size_t programs = 4;
    tests::system_world world(daemon_options());
    settle(world);
    program_load load(world, input_bytes);
    load.create(programs);
    load.run_turns(turns - 1, 1ms);
    const auto before = world.traffic();
    load.run_turns(1, 1ms);
    world.run_for(5s);
    const auto passed = since(world, before);
    const auto dispatch_kind = peer_message{dispatch_call{}}.index();
    const auto dispatched = passed.bytes.find(dispatch_kind);
    const auto sent = dispatched == passed.bytes.end() ? 0 : dispatched->second;
    into.add("bytes of one dispatch", "bytes", size, static_cast<double>(sent) / programs);
    into.add("entry memory of a program", "bytes", size,
             static_cast<double>(world.weigh_entry(0, heap_bytes)) / programs);
    into.add("target memory of a program", "bytes", size,
             static_cast<double>(world.weigh_target(0, heap_bytes)) / programs);
}

series by_turns()
{
    constexpr std::size_t input_bytes = 400;
    series found("turns of history (400-byte input, 64 tokens answered)");
    for (const std::size_t size : {10U, 20U, 40U, 80U})
    {
        weigh_history(found, static_cast<double>(size), size, input_bytes);
    }
    return found;
}

series by_text()
{
    constexpr std::size_t turns = 20;
    series found("bytes of input in 20 turns");
    for (const std::size_t size : {8'000U, 16'000U, 32'000U, 64'000U})
    {
        weigh_history(found, static_cast<double>(size), turns, size / turns);
    }
    return found;
}

} // namespace

std::vector<measurement> measure_memory()
{
    std::vector<measurement> all;
    for (const auto& it : {by_programs(), by_turns(), by_text(), by_shards("shards", weigh),
                           by_targets("targets", weigh), by_entries("entries (links)", weigh)})
    {
        all.insert(all.end(), it.all().begin(), it.all().end());
    }
    return all;
}

} // namespace masticcourse::capacity

#include "experiments.hpp"
#include "measured_world.hpp"
#include "program_load.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace masticcourse::capacity
{

namespace
{

using namespace std::chrono_literals;

double milliseconds(core_duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// One of two homes dies silently; counts until the other has all shards and a little longer.
void count_takeover(series& into, double size, std::size_t programs, std::size_t turns)
{
    auto options = daemon_options();
    options.entries = 2;
    tests::system_world world(options);
    settle(world);
    program_load load(world);
    load.create(programs);
    load.run_turns(turns, 20ms);
    world.run_for(2s);
    const auto shards = world.options().shards;
    const auto before = world.traffic();
    const auto start = world.now();
    world.kill_entry(0, true);
    if (!world.run_until([&] { return world.entry_state(1).shards_owned == shards; }, 120s))
    {
        throw std::runtime_error{"the shards were not taken over"};
    }
    const auto took = world.now() - start;
    const auto passed = since(world, before);
    into.add("takeover, store reads", "count", size, static_cast<double>(store_reads(passed)));
    into.add("takeover, store writes", "count", size, static_cast<double>(store_writes(passed)));
    into.add("takeover, bytes read", "bytes", size, static_cast<double>(passed.store_read_bytes));
    into.add("takeover, virtual time", "ms", size, milliseconds(took));
}

series takeover_by_programs()
{
    series found("programs of 4 turns on two entries");
    for (const std::size_t size : {16U, 32U, 64U, 128U})
    {
        count_takeover(found, static_cast<double>(size), size, 4);
    }
    return found;
}

series takeover_by_turns()
{
    series found("turns of 8 programs on two entries");
    for (const std::size_t size : {10U, 20U, 40U, 80U})
    {
        count_takeover(found, static_cast<double>(size), 8, size);
    }
    return found;
}

/// Patches the configuration at entry 0 and asks every entry until each has it.
void count_change(series& into, double size, std::size_t entries, const std::string& patch)
{
    auto options = daemon_options();
    options.entries = entries;
    tests::system_world world(options);
    settle(world);
    std::optional<config_version> version;
    const auto ask = [&](std::size_t entry, tests::answer_handler handler)
    { world.request(entry, {.method = "GET", .path = "/v1/config"}, std::move(handler)); };
    ask(0, [&](const tests::caller_answer& it) { version = it.etag; });
    world.run_until([&] { return version.has_value(); }, 1s);
    const auto before = world.traffic();
    const auto start = world.now();
    std::vector<bool> have(entries, false);
    std::optional<config_version> made;
    world.request(0, {.method = "PATCH", .path = "/v1/config", .body = patch, .if_match = version},
                  [&](const tests::caller_answer& it) { made = it.etag; });
    const bool all = world.run_until(
        [&]
        {
            for (std::size_t n = 0; n < entries; ++n)
            {
                ask(n, [&, n](const tests::caller_answer& it)
                    { have[n] = have[n] || (made && it.etag && *it.etag >= *made); });
            }
            return made && std::ranges::count(have, true) == static_cast<std::ptrdiff_t>(entries);
        },
        30s);
    if (!all)
    {
        throw std::runtime_error{"the configuration did not come into force"};
    }
    const auto took = world.now() - start;
    // The answers under way still name local variables.
    world.run_for(1s);
    const auto passed = since(world, before);
    const auto count_of = [&](std::size_t kind, const std::map<std::size_t, std::uint64_t>& counts)
    {
        const auto it = counts.find(kind);
        return it != counts.end() ? static_cast<double>(it->second) : 0.0;
    };
    const auto reply = peer_message{config_reply{}}.index();
    into.add("configuration change, in force at all entries", "ms", size, milliseconds(took));
    into.add("configuration change, replies", "count", size, count_of(reply, passed.messages));
    into.add("configuration change, bytes of replies", "bytes", size, count_of(reply, passed.bytes));
    into.add("configuration change, store reads", "count", size, static_cast<double>(store_reads(passed)));
    into.add("configuration change, store writes", "count", size, static_cast<double>(store_writes(passed)));
}

series change_by_entries()
{
    series found("entries");
    for (const std::size_t size : {2U, 4U, 8U, 16U})
    {
        count_change(found, static_cast<double>(size), size, R"({"limits":{"turn_limit":99}})");
    }
    return found;
}

series change_by_workspaces()
{
    constexpr std::size_t entries = 4;
    series found("workspaces in the configuration, 4 entries");
    for (const std::size_t size : {50U, 100U, 200U, 400U})
    {
        std::string patch;
        for (std::size_t n = 0; n < size; ++n)
        {
            patch += (n == 0 ? R"("workspace-)" : R"(,"workspace-)") + std::to_string(n) +
                     R"(":{"max_budget":1000000})";
        }
        count_change(found, static_cast<double>(size), entries, R"({"workspaces":{)" + patch + "}}");
    }
    return found;
}

/// The store is away for so many seconds while 8 programs take a turn every 2 s.
series store_outage(token_count escrow_chunk)
{
    constexpr std::size_t programs = 8;
    constexpr std::size_t turns = 95;
    series found("seconds that the store is away, 8 programs with a turn every 2 s, escrow of " +
                 std::to_string(escrow_chunk) + " tokens");
    for (const int size : {15, 30, 45, 90, 150})
    {
        auto options = daemon_options();
        options.escrow_chunk = escrow_chunk;
        tests::system_world world(options);
        settle(world);
        program_load load(world);
        load.create(programs);
        load.start_turns(turns, 100ms, 2s);
        world.run_for(5s);
        const auto taken = load.turns_taken();
        const auto refused = load.refusals();
        world.store().set_faults({.outage = true});
        world.run_for(std::chrono::seconds{size});
        world.store().set_faults({});
        found.add("store away, turns taken", "count", size, static_cast<double>(load.turns_taken() - taken));
        found.add("store away, calls refused", "count", size, static_cast<double>(load.refusals() - refused));
        const auto back = world.now();
        const auto resumed = load.turns_taken();
        if (!world.run_until([&] { return load.turns_taken() >= resumed + programs; }, 60s))
        {
            throw std::runtime_error{"the turns did not go on"};
        }
        found.add("store back, until a turn of each program", "ms", size, milliseconds(world.now() - back));
    }
    return found;
}

/// One of two entries drains, is replaced, and takes its shards back.
series replacement()
{
    series found("shards, 2 entries");
    for (const shard_index size : {16U, 64U, 128U, 256U})
    {
        auto options = daemon_options();
        options.entries = 2;
        options.shards = size;
        tests::system_world world(options);
        settle(world);
        const auto before = world.traffic();
        const auto start = world.now();
        world.stop_entry(0);
        if (!world.run_until([&] { return world.entry_state(1).shards_owned == size; }, 120s))
        {
            throw std::runtime_error{"the shards were not handed over"};
        }
        const auto took = world.now() - start;
        world.start_entry(0);
        world.run_for(30s);
        const auto passed = since(world, before);
        found.add("replacement of an entry, handed over", "ms", size, milliseconds(took));
        found.add("replacement of an entry, store reads", "count", size,
                  static_cast<double>(store_reads(passed)));
        found.add("replacement of an entry, store writes", "count", size,
                  static_cast<double>(store_writes(passed)));
        found.add("replacement of an entry, shards taken back", "count", size,
                  static_cast<double>(world.entry_state(0).shards_owned));
    }
    return found;
}

/// Does something to worlds of several numbers of entries and counts what 20 s of it bring.
series after_fault(const std::string& name, const std::vector<std::size_t>& sizes,
                   const std::function<void(tests::system_world&)>& fault)
{
    series found("entries, " + name);
    const auto ask_kind = peer_message{liveness_ask{}}.index();
    const auto answer_kind = peer_message{liveness_answer{}}.index();
    for (const std::size_t entries : sizes)
    {
        auto options = daemon_options();
        options.entries = entries;
        tests::system_world world(options);
        settle(world);
        const auto before = world.traffic();
        fault(world);
        world.run_for(20s);
        auto passed = since(world, before);
        const auto size = static_cast<double>(entries);
        found.add(name + ", asks and answers", "count", size,
                  static_cast<double>(passed.messages[ask_kind] + passed.messages[answer_kind]));
        found.add(name + ", store reads", "count", size, static_cast<double>(store_reads(passed)));
        found.add(name + ", store writes", "count", size, static_cast<double>(store_writes(passed)));
        found.add(name + ", bytes read from the store", "bytes", size,
                  static_cast<double>(passed.store_read_bytes));
    }
    return found;
}

series silent_death()
{
    return after_fault("one dies silently", {3U, 4U, 8U, 16U},
                       [](tests::system_world& world) { world.kill_entry(0, true); });
}

/// The targets and the store stay in reach of both halves.
series parted_entries()
{
    const auto part = [](tests::system_world& world)
    {
        const auto size = world.options().entries;
        for (std::size_t a = 0; a < size / 2; ++a)
        {
            for (auto b = size / 2; b < size; ++b)
            {
                world.cut(world.entry_name(a), world.entry_name(b));
            }
        }
    };
    return after_fault("halves parted", {2U, 4U, 8U, 16U}, part);
}

} // namespace

std::vector<measurement> measure_changes()
{
    std::vector<measurement> all;
    for (const auto& it : {takeover_by_programs(), takeover_by_turns(), change_by_entries(),
                           change_by_workspaces(), store_outage(entry_options{}.escrow_chunk),
                           store_outage(200'000), replacement(), silent_death(), parted_entries()})
    {
        all.insert(all.end(), it.all().begin(), it.all().end());
    }
    return all;
}

} // namespace masticcourse::capacity

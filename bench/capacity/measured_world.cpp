#include "measured_world.hpp"

#include <algorithm>
#include <initializer_list>
#include <stdexcept>
#include <utility>

namespace masticcourse::capacity
{

namespace
{

using namespace std::chrono_literals;

void subtract(std::map<std::size_t, std::uint64_t>& from, const std::map<std::size_t, std::uint64_t>& what)
{
    for (const auto& [key, count] : what)
    {
        from[key] -= count;
    }
}

std::uint64_t count_of(const tests::system_traffic& traffic, std::size_t kind)
{
    const auto it = traffic.store_ops.find(kind);
    return it != traffic.store_ops.end() ? it->second : 0;
}

// The places in `store_op`.
constexpr std::size_t table_put_kind = 1;
constexpr std::size_t object_create_kind = 3;
constexpr std::size_t object_delete_kind = 5;

} // namespace

tests::system_options daemon_options()
{
    const entry_options defaults;
    return {.entries = 1,
            .models = 1,
            .tools = 0,
            .shards = defaults.shards,
            .program_lease = defaults.program_lease,
            .checkpoint_records = defaults.checkpoint_records,
            .escrow_chunk = defaults.escrow_chunk,
            .measure_cpu = true};
}

void settle(tests::system_world& world)
{
    const bool taken = world.run_until([&] { return world.shards_owned() == world.options().shards; }, 60s);
    if (!taken)
    {
        throw std::runtime_error{"the shards were not taken"};
    }
    world.run_for(5s);
}

tests::system_traffic since(const tests::system_world& world, const tests::system_traffic& before)
{
    auto passed = world.traffic();
    subtract(passed.messages, before.messages);
    subtract(passed.bytes, before.bytes);
    subtract(passed.store_ops, before.store_ops);
    for (const auto& [name, bytes] : before.of_process)
    {
        passed.of_process[name] -= bytes;
    }
    passed.store_bytes -= before.store_bytes;
    passed.store_read_bytes -= before.store_read_bytes;
    passed.entry_steps -= before.entry_steps;
    passed.target_steps -= before.target_steps;
    passed.entry_cpu -= before.entry_cpu;
    passed.target_cpu -= before.target_cpu;
    return passed;
}

std::uint64_t total(const std::map<std::size_t, std::uint64_t>& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [key, count] : counts)
    {
        sum += count;
    }
    return sum;
}

std::uint64_t store_writes(const tests::system_traffic& traffic)
{
    return count_of(traffic, table_put_kind) + count_of(traffic, object_create_kind) +
           count_of(traffic, object_delete_kind);
}

std::uint64_t store_reads(const tests::system_traffic& traffic)
{
    return total(traffic.store_ops) - store_writes(traffic);
}

series::series(std::string per) : m_per(std::move(per)) {}

void series::add(const std::string& what, const std::string& unit, double size, double value)
{
    auto it = std::ranges::find(m_all, what, &measurement::what);
    if (it == m_all.end())
    {
        m_all.push_back({.what = what, .per = m_per, .unit = unit});
        it = std::prev(m_all.end());
    }
    it->sizes.push_back(size);
    it->values.push_back(value);
}

const std::vector<measurement>& series::all() const
{
    return m_all;
}

namespace
{

/// @param set_size stores a size in the options of a world
template <typename Size, typename SetSize>
series by_option(const std::string& per, std::initializer_list<Size> sizes, const SetSize& set_size,
                 const world_measure& measure)
{
    series found(per);
    for (const auto size : sizes)
    {
        auto options = daemon_options();
        set_size(options, size);
        tests::system_world world(options);
        settle(world);
        measure(found, world, static_cast<double>(size));
    }
    return found;
}

} // namespace

series by_entries(const std::string& per, const world_measure& measure)
{
    const auto set_size = [](tests::system_options& options, std::size_t size) { options.entries = size; };
    return by_option(per, {std::size_t{2}, std::size_t{4}, std::size_t{8}, std::size_t{16}}, set_size,
                     measure);
}

series by_targets(const std::string& per, const world_measure& measure)
{
    const auto set_size = [](tests::system_options& options, std::size_t size) { options.models = size; };
    return by_option(per, {std::size_t{4}, std::size_t{8}, std::size_t{16}, std::size_t{32}}, set_size,
                     measure);
}

series by_shards(const std::string& per, const world_measure& measure)
{
    const auto set_size = [](tests::system_options& options, shard_index size) { options.shards = size; };
    return by_option(per, {shard_index{16}, shard_index{64}, shard_index{128}, shard_index{256}}, set_size,
                     measure);
}

} // namespace masticcourse::capacity

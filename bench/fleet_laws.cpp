// What a site's gateways ask of the store and of each other, by their number: prints a table for the sizes
// given as arguments. Virtual time; the modules are the real ones.
#include "support/feed_fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <vector>

namespace
{

using namespace masticcourse::testing;
using namespace std::chrono_literals;
using masticcourse::gateway::milliseconds;

constexpr std::size_t failure_domains = 5;

/// What one phase of a simulation costs.
struct phase_cost
{
    store_usage usage;
    /// Messages between gateways.
    std::size_t messages = 0;
    /// Most messages that one gateway served.
    std::size_t most_served = 0;
    /// Time until all running gateways know the last change; negative if they don't within the limit.
    milliseconds known_after{-1};
};

phase_cost run_phase(feed_fleet& fleet, const std::function<milliseconds(feed_fleet&)>& phase)
{
    const auto usage = fleet.store.usage;
    const auto messages = fleet.messages;
    std::ignore = fleet.take_most_served();
    const auto known_after = phase(fleet);
    return {.usage = fleet.store.usage - usage,
            .messages = fleet.messages - messages,
            .most_served = fleet.take_most_served(),
            .known_after = known_after};
}

milliseconds time_until(feed_fleet& fleet, const std::function<bool()>& known)
{
    constexpr milliseconds step{10};
    constexpr milliseconds limit{30'000};
    for (milliseconds waited{0}; waited <= limit; waited += step)
    {
        if (known())
        {
            return waited;
        }
        fleet.time.run(step);
    }
    return milliseconds{-1};
}

milliseconds time_until_known(feed_fleet& fleet, const std::string& value)
{
    fleet.store.put(feed_fleet::config_table, "config", value);
    return time_until(
        fleet, [&] { return fleet.knowing(feed_fleet::config_table, "config", value) == fleet.running(); });
}

void print(std::size_t gateways, const char* phase, const phase_cost& it)
{
    std::printf("| %zu | %s | %zu | %zu | %zu | %zu | %zu | %zu | %lld |\n", gateways, phase, it.usage.reads,
                it.usage.writes, it.usage.refused, it.usage.rows, it.messages, it.most_served,
                static_cast<long long>(it.known_after.count()));
}

void run_size(std::size_t gateways)
{
    feed_fleet fleet{gateways, failure_domains};
    fleet.store.put(feed_fleet::config_table, "config", "first");
    print(gateways, "start of all, until all know each other",
          run_phase(fleet, [gateways](feed_fleet& it)
                    { return time_until(it, [&] { return it.list_sizes().second == gateways; }); }));
    fleet.time.run(20s);
    print(gateways, "10 s of rest",
          run_phase(fleet,
                    [](feed_fleet& it)
                    {
                        it.time.run(10s);
                        return 0ms;
                    }));
    print(gateways, "100 targets replaced in 5 s, then a configuration",
          run_phase(fleet,
                    [](feed_fleet& it)
                    {
                        for (int n = 0; n < 100; ++n)
                        {
                            it.store.put(feed_fleet::target_table, std::to_string(n), "ready");
                            it.time.run(50ms);
                        }
                        return time_until_known(it, "after the targets");
                    }));
    print(gateways, "store away for 5 s, then a configuration",
          run_phase(fleet,
                    [](feed_fleet& it)
                    {
                        it.set_store_mode(store_mode::refusing);
                        it.time.run(5s);
                        it.set_store_mode(store_mode::available);
                        return time_until_known(it, "after the outage");
                    }));
    fleet.time.run(10s);
    print(gateways, "55 in 100 killed and back after 2 s, then a configuration",
          run_phase(fleet,
                    [](feed_fleet& it)
                    {
                        it.restart(0.55, 2s);
                        it.time.run(2'300ms);
                        return time_until_known(it, "after the kill");
                    }));
    fleet.time.run(10s);
    print(gateways, "17 in 100 silent, then a configuration",
          run_phase(fleet,
                    [](feed_fleet& it)
                    {
                        it.freeze(0.17);
                        return time_until_known(it, "after the freeze");
                    }));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        std::puts("| gateways | phase | reads | writes | refused | rows read | messages | most served by one "
                  "| known "
                  "to all after ms |");
        std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        const std::vector<std::string> sizes(argv + 1, argv + argc);
        for (const auto& it : sizes)
        {
            run_size(std::stoul(it));
        }
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "fleet_laws: %s\n", error.what());
        return EXIT_FAILURE;
    }
}

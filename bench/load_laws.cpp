// What the exchange of load costs and how good its views are, by the number of gateways: prints a table for
// the sizes given as arguments. Virtual time; the modules are the real ones.
#include "support/load_fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

namespace
{

using namespace masticcourse::testing;

constexpr int settle_intervals = 5;
constexpr int measured_intervals = 20;

void run_size(std::size_t gateways)
{
    load_fleet fleet{{.gateways = gateways}};
    fleet.start_requests();
    fleet.time.run(settle_intervals * fleet.interval());
    const auto it = fleet.measure(measured_intervals * fleet.interval());
    std::printf("| %zu | %lld | %lld | %.1f | %zu of %zu | %.0f | %.0f |\n", gateways,
                static_cast<long long>(fleet.interval().count()), static_cast<long long>(it.age_p95.count()),
                it.error_p95, it.impossible_sums, it.samples, it.collector_messages, it.bytes_per_gateway);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        std::puts(
            "| gateways | interval ms | age p95 ms | error p95 requests | impossible sums | messages to the "
            "collector per s | bytes per gateway and s |");
        std::puts("| --- | --- | --- | --- | --- | --- | --- |");
        const std::vector<std::string> sizes(argv + 1, argv + argc);
        for (const auto& it : sizes)
        {
            run_size(std::stoul(it));
        }
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error)
    {
        std::fprintf(stderr, "load_laws: %s\n", error.what());
        return EXIT_FAILURE;
    }
}

#include "world.hpp"
#include <chrono>
#include <iomanip>
#include <iostream>
using namespace masticcourse::bench;
int main(int argc, char** argv)
{
    const std::string mix = argc > 1 ? argv[1] : "atlas";
    const double load = argc > 2 ? std::stod(argv[2]) : 0.9;
    const int seeds = argc > 3 ? std::stoi(argv[3]) : 1;
    const bool abl = argc > 4;
    auto systems = baseline_systems();
    systems.push_back(masticcourse_system());
    if (abl)
    {
        systems.clear();
        systems.push_back(masticcourse_system());
        auto a = ablated_systems();
        systems.insert(systems.end(), a.begin(), a.end());
    }
    for (const auto& s : systems)
    {
        auto t0 = std::chrono::steady_clock::now();
        std::vector<run_summary> v;
        std::size_t n = 0;
        for (int seed = 1; seed <= seeds; ++seed)
        {
            const auto plans = make_workload({.mix = mix, .seed = std::uint64_t(seed), .load = load});
            n = plans.size();
            world w{s, plans, {.seed = std::uint64_t(seed)}};
            v.push_back(summarise(w.run()));
        }
        const auto r = mean_of(v);
        std::cout << std::fixed << std::setprecision(2) << std::setw(34) << s.name << " p50 " << r.p50
                  << " p95 " << r.p95 << " p99 " << r.p99 << " wait95 " << r.waiting_p95 << " slow "
                  << r.slowdown << " rec " << r.recomputed << "k unused " << r.unused << "k good "
                  << r.goodput << " ref " << r.refused << " unf " << r.unfinished << " fair "
                  << std::setprecision(3) << r.fairness << "  n=" << n << " "
                  << std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count() << "s\n"
                  << std::flush;
    }
}

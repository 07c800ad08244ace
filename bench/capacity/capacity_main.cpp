// Measures what each role costs against programs, turns, shards, targets, entries and calls, on the real
// control cores in virtual time: capacity FOLDER writes capacity.md and capacity.csv there.
#include "experiments.hpp"

#include <exception>
#include <iostream>
#include <string>

using namespace masticcourse::capacity;

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::cerr << "usage: capacity FOLDER\n";
        return 2;
    }
    try
    {
        std::vector<measurement> all;
        for (const auto measure : {&measure_memory, &measure_rest, &measure_calls, &measure_changes})
        {
            const auto found = measure();
            all.insert(all.end(), found.begin(), found.end());
        }
        write_report(all, argv[1]);
    }
    catch (const std::exception& error)
    {
        std::cerr << "capacity: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

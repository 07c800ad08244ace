// masticcourse: operator command line.
#include "masticcourse/cli/command_line.hpp"

#include <unistd.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    using namespace masticcourse;
    try
    {
        const std::vector<std::string> args(argv + 1, argv + argc);
        console output{std::cout, std::cerr, ::isatty(STDERR_FILENO) != 0};
        return static_cast<int>(run_command_line(args, output));
    }
    catch (const std::exception& error)
    {
        std::cerr << "masticcourse: " << error.what() << "\n";
        return static_cast<int>(exit_code::usage);
    }
}

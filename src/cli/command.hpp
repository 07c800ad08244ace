/// @file
/// Command descriptors of the command line.
#pragma once

#include "masticcourse/cli/command_line.hpp"

#include <boost/program_options.hpp>

#include <span>
#include <string_view>

namespace masticcourse::detail
{

namespace po = boost::program_options;

/// Name, arguments and implementation of a command.
struct command_descriptor
{
    std::string_view name;
    /// Name of the positional argument in the help text; empty if the command has none.
    std::string_view argument;
    std::string_view summary;
    void (*add_options)(po::options_description&);
    exit_code (*run)(const po::variables_map&, console&);
};

/// Key of the positional argument in the variables map.
inline constexpr const char* argument_key = "argument";

[[nodiscard]] std::span<const command_descriptor> all_commands();

/// @name Commands
/// @{
extern const command_descriptor check_command;
extern const command_descriptor patch_command;
extern const command_descriptor status_command;
extern const command_descriptor programs_command;
extern const command_descriptor timeline_command;
extern const command_descriptor load_command;
extern const command_descriptor events_command;
/// @}

/// @return the positional argument, or an empty string if it is not set
[[nodiscard]] std::string positional_argument(const po::variables_map& options);

/// @return the value of the option, or an empty string if it is not set
[[nodiscard]] std::string option_text(const po::variables_map& options, const char* name);

} // namespace masticcourse::detail

/// @file
/// One command of the command line, and the table of all.
#pragma once

#include "masticcourse/cli/command_line.hpp"

#include <boost/program_options.hpp>

#include <span>
#include <string_view>

namespace masticcourse::detail
{

namespace po = boost::program_options;

/// One command: what it is called, what it takes, what it does.
struct command_descriptor
{
    std::string_view name;
    /// How its positional argument is called in the help; empty if it takes none.
    std::string_view argument;
    std::string_view summary;
    void (*add_options)(po::options_description&);
    exit_code (*run)(const po::variables_map&, console&);
};

/// The name under which a positional argument is found.
inline constexpr const char* argument_key = "argument";

[[nodiscard]] std::span<const command_descriptor> all_commands();

/// @name The commands
/// @{
extern const command_descriptor check_command;
extern const command_descriptor patch_command;
extern const command_descriptor status_command;
extern const command_descriptor programs_command;
extern const command_descriptor timeline_command;
extern const command_descriptor load_command;
extern const command_descriptor events_command;
/// @}

/// @return the positional argument, or an empty text
[[nodiscard]] std::string positional_argument(const po::variables_map& options);

/// @return the option's text, or an empty one
[[nodiscard]] std::string option_text(const po::variables_map& options, const char* name);

} // namespace masticcourse::detail

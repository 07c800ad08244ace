#include "masticcourse/cli/command_line.hpp"

#include "command.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace masticcourse
{

namespace detail
{

std::span<const command_descriptor> all_commands()
{
    static const std::array commands{check_command,    patch_command, status_command, programs_command,
                                     timeline_command, load_command,  events_command};
    return commands;
}

std::string option_text(const po::variables_map& options, const char* name)
{
    return options.count(name) != 0 ? options[name].as<std::string>() : std::string{};
}

std::string positional_argument(const po::variables_map& options)
{
    return option_text(options, argument_key);
}

} // namespace detail

namespace
{

namespace po = boost::program_options;
using detail::command_descriptor;

std::string overview()
{
    constexpr int name_width = 12;
    std::ostringstream text;
    text << "masticcourse COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto& it : detail::all_commands())
    {
        text << "  " << std::left << std::setw(name_width) << it.name << it.summary << "\n";
    }
    text << "\n`masticcourse COMMAND --help` describes one of them.\n"
         << "Exit codes: 0 done, 1 refused or failed remotely, 2 wrong usage or settings, 3 unreachable.\n";
    return text.str();
}

po::options_description visible_options(const command_descriptor& command)
{
    po::options_description visible{"Options"};
    command.add_options(visible);
    visible.add_options()("help", "show this help");
    return visible;
}

std::string help_text(const command_descriptor& command)
{
    std::ostringstream text;
    text << "masticcourse " << command.name << " [OPTIONS]";
    if (!command.argument.empty())
    {
        text << " " << command.argument;
    }
    text << "\n\n" << command.summary << "\n\n" << visible_options(command);
    return text.str();
}

po::variables_map parse_options(const command_descriptor& command, const std::vector<std::string>& args)
{
    po::options_description all = visible_options(command);
    po::positional_options_description positional;
    if (!command.argument.empty())
    {
        all.add_options()(detail::argument_key, po::value<std::string>());
        positional.add(detail::argument_key, 1);
    }
    po::variables_map options;
    // Abbreviated options are rejected: new options could change the meaning of an abbreviation in a script.
    constexpr int style =
        po::command_line_style::unix_style & ~static_cast<int>(po::command_line_style::allow_guessing);
    po::store(po::command_line_parser{args}.options(all).positional(positional).style(style).run(), options);
    po::notify(options);
    return options;
}

exit_code run_command(const command_descriptor& command, const std::vector<std::string>& args,
                      console& output)
{
    po::variables_map options;
    try
    {
        options = parse_options(command, args);
    }
    catch (const po::error& error)
    {
        output.err << "masticcourse " << command.name << ": " << error.what() << "\n";
        return exit_code::usage;
    }
    if (options.count("help") != 0)
    {
        output.out << help_text(command);
        return exit_code::ok;
    }
    return command.run(options, output);
}

} // namespace

exit_code run_command_line(const std::vector<std::string>& args, console& output)
{
    if (args.empty() || args.front() == "--help")
    {
        (args.empty() ? output.err : output.out) << overview();
        return args.empty() ? exit_code::usage : exit_code::ok;
    }
    const auto commands = detail::all_commands();
    const auto it = std::ranges::find(commands, std::string_view{args.front()}, &command_descriptor::name);
    if (it == commands.end())
    {
        output.err << "masticcourse: unknown command " << args.front() << "\n\n" << overview();
        return exit_code::usage;
    }
    return run_command(*it, {args.begin() + 1, args.end()}, output);
}

} // namespace masticcourse

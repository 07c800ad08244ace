#include "masticcourse/daemon/daemon_main.hpp"

#include "masticcourse/telemetry/log.hpp"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>
#include <optional>
#include <variant>
#include <vector>

namespace masticcourse
{

namespace
{

namespace po = boost::program_options;

struct daemon_arguments
{
    std::string settings;
    std::string name;
};

/// @return the arguments, or nothing if only help was asked for
/// @throws po::error if the command line is wrong
std::optional<daemon_arguments> read_arguments(const std::string& program, int argc, const char* const* argv)
{
    daemon_arguments arguments;
    po::options_description options{"Usage: " + program + " --settings FILE --name NAME\n\nOptions"};
    options.add_options()("help", "show this help")("settings", po::value(&arguments.settings)->required(),
                                                    "the deployment's settings (TOML)")(
        "name", po::value(&arguments.name)->required(), "the name of this process in the settings");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") > 0)
    {
        std::cout << options << "\nExit codes: 0 ended well, 1 failed, 2 bad settings or usage.\n";
        return std::nullopt;
    }
    po::notify(values);
    return arguments;
}

int run_daemon(const std::string& program, const daemon_arguments& arguments, const daemon_body& body)
{
    const auto read = read_settings(arguments.settings);
    if (const auto* const faults = std::get_if<std::vector<settings_diagnostic>>(&read))
    {
        for (const auto& it : *faults)
        {
            std::cerr << to_string(it) << '\n';
        }
        return exit_bad_settings;
    }
    start_log(program);
    if (!body(std::get<deployment_settings>(read), {arguments.name}))
    {
        std::cerr << arguments.settings << ": no such process: " << arguments.name << '\n';
        return exit_bad_settings;
    }
    log_event(event_id::process_stopped, {});
    return exit_ok;
}

} // namespace

int daemon_main(const std::string& program, int argc, const char* const* argv, const daemon_body& body)
{
    try
    {
        const auto arguments = read_arguments(program, argc, argv);
        return arguments ? run_daemon(program, *arguments, body) : exit_ok;
    }
    catch (const po::error& error)
    {
        std::cerr << program << ": " << error.what() << '\n';
        return exit_bad_settings;
    }
    catch (const std::exception& error)
    {
        std::cerr << program << ": " << error.what() << '\n';
        return exit_failed;
    }
}

} // namespace masticcourse

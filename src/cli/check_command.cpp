// `masticcourse check`: validates a settings file and reports all errors.
#include "deployment_access.hpp"

#include <nlohmann/json.hpp>

#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    options.add_options()("json", "write the faults as JSON");
    options.add_options()("markdown", "write the reference of all keys instead");
}

nlohmann::json fault_json(const settings_diagnostic& fault)
{
    return {{"file", fault.file}, {"line", fault.line}, {"key", fault.key}, {"message", fault.message}};
}

void write_faults(const std::vector<settings_diagnostic>& faults, bool as_json, console& output)
{
    auto rows = nlohmann::json::array();
    for (const auto& it : faults)
    {
        rows.push_back(fault_json(it));
        if (!as_json)
        {
            output.err << to_string(it) << "\n";
        }
    }
    if (as_json)
    {
        output.out << rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    }
}

exit_code run(const po::variables_map& options, console& output)
{
    if (options.count("markdown") != 0)
    {
        output.out << settings_reference();
        return exit_code::ok;
    }
    const auto path = positional_argument(options);
    if (path.empty())
    {
        output.err << "check: missing argument FILE\n";
        return exit_code::usage;
    }
    const bool as_json = options.count("json") != 0;
    const auto result = read_settings(path);
    if (const auto* const faults = std::get_if<std::vector<settings_diagnostic>>(&result))
    {
        write_faults(*faults, as_json, output);
        return exit_code::usage;
    }
    const auto& settings = std::get<deployment_settings>(result);
    if (as_json)
    {
        write_faults({}, true, output);
        return exit_code::ok;
    }
    output.out << path << ": good (" << settings.customer << ": " << settings.entries.size() << " entries, "
               << settings.targets.size() << " targets, " << settings.workspaces.size() << " workspaces)\n";
    return exit_code::ok;
}

} // namespace

const command_descriptor check_command{"check", "FILE", "Checks a settings file and lists all its faults.",
                                       add_options, run};

} // namespace masticcourse::detail

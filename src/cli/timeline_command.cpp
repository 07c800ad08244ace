// `masticcourse timeline`: merges the timelines of all processes of a deployment.
#include "deployment_access.hpp"

#include "masticcourse/telemetry/timeline.hpp"

#include <algorithm>
#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    options.add_options()("settings", po::value<std::string>(), "the deployment's settings file");
    options.add_options()(
        "out", po::value<std::string>(),
        "write PREFIX.json (Chrome trace) and PREFIX.txt (listing) in place of showing one");
    options.add_options()("program", po::value<std::string>(), "only events of this program");
    options.add_options()("json", "show the Chrome trace JSON in place of the listing");
}

std::vector<process_endpoint> all_processes(const deployment_settings& settings)
{
    std::vector<process_endpoint> processes;
    processes.reserve(settings.entries.size() + settings.targets.size());
    for (const auto& it : settings.entries)
    {
        processes.push_back({it.name.value, it.http_address});
    }
    for (const auto& it : settings.targets)
    {
        processes.push_back({it.name.value, it.http_address});
    }
    return processes;
}

/// Valid timeline exports of the processes, and the exit code over all replies.
struct fetched_timelines
{
    std::vector<timeline_export> exports;
    exit_code code = exit_code::ok;
};

fetched_timelines fetch_timelines(const deployment_settings& settings, console& output)
{
    const auto processes = all_processes(settings);
    std::vector<http_client_request> requests;
    requests.reserve(processes.size());
    for (const auto& it : processes)
    {
        requests.push_back(make_request(it.address, "GET", "/v1/timeline", settings.operator_token));
    }
    const auto replies = send_all(std::move(requests));
    fetched_timelines fetched;
    for (std::size_t n = 0; n < replies.size(); ++n)
    {
        const auto code = check_reply(replies[n], processes[n].name, output);
        fetched.code = std::max(fetched.code, code);
        if (code != exit_code::ok)
        {
            continue;
        }
        if (auto content = parse_timeline(replies[n].body))
        {
            fetched.exports.push_back(std::move(*content));
            continue;
        }
        output.err << processes[n].name << ": invalid timeline export\n";
        fetched.code = std::max(fetched.code, exit_code::remote_failure);
    }
    return fetched;
}

/// Writes the Chrome trace to PREFIX.json and the listing to PREFIX.txt.
/// @return whether both files were written
bool write_files(const std::string& prefix, const std::vector<timeline_event>& events, console& output)
{
    const bool written = write_file(prefix + ".json", to_chrome_trace(events)) &&
                         write_file(prefix + ".txt", to_listing(events));
    if (!written)
    {
        output.err << prefix << ": cannot write files\n";
    }
    return written;
}

exit_code run(const po::variables_map& options, console& output)
{
    const auto path = option_text(options, "settings");
    const auto settings = path.empty() ? std::nullopt : load_settings(path, output);
    if (!settings)
    {
        output.err << (path.empty() ? "timeline: --settings is required\n" : "");
        return exit_code::usage;
    }
    const auto fetched = fetch_timelines(*settings, output);
    auto events = merge_timelines(fetched.exports);
    if (const program_id program{option_text(options, "program")}; !program.empty())
    {
        std::erase_if(events, [&](const timeline_event& it) { return it.program != program; });
    }
    if (const auto prefix = option_text(options, "out"); !prefix.empty())
    {
        return write_files(prefix, events, output) ? fetched.code : exit_code::usage;
    }
    output.out << (options.count("json") != 0 ? to_chrome_trace(events) + "\n" : to_listing(events));
    return fetched.code;
}

} // namespace

const command_descriptor timeline_command{"timeline", "", "Merges the time lines of all processes.",
                                          add_options, run};

} // namespace masticcourse::detail

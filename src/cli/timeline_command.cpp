// `masticcourse timeline`: merges the time lines of all processes of a deployment.
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
    options.add_options()("trace", po::value<std::string>(), "file for the Chrome trace JSON");
    options.add_options()("listing", po::value<std::string>(),
                          "file for the plain listing; without it the listing is shown");
    options.add_options()("program", po::value<std::string>(), "only events of this program");
    options.add_options()("json", "show the Chrome trace JSON in place of the listing");
}

std::vector<process_access> all_processes(const deployment_settings& settings)
{
    std::vector<process_access> processes;
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

/// The exports of all processes that answered.
struct fetched_timelines
{
    std::vector<timeline_export> exports;
    exit_code code = exit_code::ok;
};

fetched_timelines fetch_timelines(const deployment_settings& settings, console& to)
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
        const auto code = judge_reply(replies[n], processes[n].name, to);
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
        to.err << processes[n].name << ": its time line can't be read\n";
        fetched.code = std::max(fetched.code, exit_code::remote_failure);
    }
    return fetched;
}

/// Writes to the file that an option names, if it names one.
bool write_option(const po::variables_map& options, const char* name, const std::string& content, console& to)
{
    const auto path = text_of(options, name);
    if (path.empty() || write_file(path, content))
    {
        return true;
    }
    to.err << path << ": can't be written\n";
    return false;
}

exit_code run(const po::variables_map& options, console& to)
{
    const auto path = text_of(options, "settings");
    const auto settings = path.empty() ? std::nullopt : load_settings(path, to);
    if (!settings)
    {
        to.err << (path.empty() ? "timeline: --settings is needed\n" : "");
        return exit_code::usage;
    }
    const auto fetched = fetch_timelines(*settings, to);
    auto events = merge_timelines(fetched.exports);
    if (const program_id program{text_of(options, "program")}; !program.empty())
    {
        std::erase_if(events, [&](const timeline_event& it) { return it.program != program; });
    }
    const auto trace = to_chrome_trace(events);
    const auto listing = to_listing(events);
    if (!write_option(options, "trace", trace, to) || !write_option(options, "listing", listing, to))
    {
        return exit_code::usage;
    }
    if (options.count("json") != 0)
    {
        to.out << trace << "\n";
    }
    else if (options.count("listing") == 0)
    {
        to.out << listing;
    }
    return fetched.code;
}

} // namespace

const command_row timeline_command{"timeline", "", "Merges the time lines of all processes.", add_options,
                                   run};

} // namespace masticcourse::detail

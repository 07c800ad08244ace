// `masticcourse load`: generates load on a deployment from its customer's workload mix and reports latency.
#include "deployment_access.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"
#include "load_run.hpp"

#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    const load_options defaults;
    options.add_options()("settings", po::value<std::string>(), "the deployment's settings file");
    options.add_options()("rate", po::value<double>()->default_value(defaults.rate),
                          "programs that start in a second");
    options.add_options()("seconds", po::value<std::int64_t>()->default_value(defaults.duration.count()),
                          "for how long programs start");
    options.add_options()("seed", po::value<std::uint64_t>()->default_value(defaults.seed),
                          "seed of programs and arrivals");
    options.add_options()("pause-scale", po::value<double>()->default_value(defaults.pause_scale),
                          "factor of all pauses");
    options.add_options()("json", "write JSON");
}

std::optional<load_options> read_options(const po::variables_map& options, console& output)
{
    load_options load{.rate = options["rate"].as<double>(),
                      .duration = std::chrono::seconds{options["seconds"].as<std::int64_t>()},
                      .seed = options["seed"].as<std::uint64_t>(),
                      .pause_scale = options["pause-scale"].as<double>()};
    // The conditions are negated so that NaN is rejected, too.
    if (!(load.rate > 0) || load.duration.count() <= 0 || !(load.pause_scale >= 0))
    {
        output.err << "load: --rate and --seconds must be greater than 0, --pause-scale at least 0\n";
        return std::nullopt;
    }
    return load;
}

exit_code run(const po::variables_map& options, console& output)
{
    const auto load = read_options(options, output);
    if (!load)
    {
        return exit_code::usage;
    }
    const auto path = option_text(options, "settings");
    const auto settings = path.empty() ? std::nullopt : load_settings(path, output);
    if (!settings)
    {
        output.err << (path.empty() ? "load: --settings is required\n" : "");
        return exit_code::usage;
    }
    const auto programs = plan_load(*settings, *load);
    const auto report = run_load(*settings, programs, output);
    if (output.shows_progress)
    {
        output.err << "\n";
    }
    output.out << (options.count("json") != 0 ? report_json(report) : report_table(report));
    if (report.counts.calls_finished == 0 && !programs.empty())
    {
        return exit_code::unreachable;
    }
    return report.counts.programs_failed == 0 ? exit_code::ok : exit_code::remote_failure;
}

} // namespace

const command_descriptor load_command{
    "load", "", "Drives a deployment with its mix of programs and measures them.", add_options, run};

} // namespace masticcourse::detail

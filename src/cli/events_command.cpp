// `masticcourse events`: prints the event catalogue.
#include "command.hpp"
#include "text_table.hpp"

#include "masticcourse/telemetry/event.hpp"

#include <nlohmann/json.hpp>

#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    options.add_options()("json", "write JSON");
    options.add_options()("markdown", "write docs/EVENTS.md");
}

std::string json_text()
{
    auto rows = nlohmann::json::array();
    for (const auto& it : event_catalogue)
    {
        rows.push_back({{"number", static_cast<unsigned>(it.id)},
                        {"name", it.name},
                        {"severity", to_string(it.severity)},
                        {"meaning", it.meaning},
                        {"action", it.action}});
    }
    return rows.dump() + "\n";
}

std::string table_text()
{
    std::vector<table_line> lines{{"NUMBER", "SEVERITY", "NAME", "MEANING"}};
    for (const auto& it : event_catalogue)
    {
        lines.push_back({std::to_string(static_cast<unsigned>(it.id)), std::string{to_string(it.severity)},
                         std::string{it.name}, std::string{it.meaning}});
    }
    return render_table(lines);
}

exit_code run(const po::variables_map& options, console& output)
{
    if (options.count("markdown") != 0)
    {
        output.out << event_reference();
    }
    else
    {
        output.out << (options.count("json") != 0 ? json_text() : table_text());
    }
    return exit_code::ok;
}

} // namespace

const command_descriptor events_command{"events", "", "Lists the numbered events of logs and time line.",
                                        add_options, run};

} // namespace masticcourse::detail

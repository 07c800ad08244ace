// `masticcourse programs`: lists the running programs of all entries.
#include "deployment_access.hpp"
#include "json_reply.hpp"
#include "text_table.hpp"

#include <algorithm>
#include <array>
#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    add_access_options(options);
    options.add_options()("all", "also those that have ended");
    options.add_options()("json", "write JSON");
}

std::string table_text(const nlohmann::json& rows)
{
    constexpr std::array<std::string_view, 9> members{"program", "workspace", "class",  "turns", "spent",
                                                      "budget",  "active",    "target", "home"};
    std::vector<table_line> lines{
        {"PROGRAM", "WORKSPACE", "CLASS", "TURNS", "SPENT", "BUDGET", "ACTIVE", "TARGET", "HOME"}};
    for (const auto& it : rows)
    {
        table_line line;
        std::ranges::transform(members, std::back_inserter(line),
                               [&](auto member) { return member_text(it, member); });
        lines.push_back(std::move(line));
    }
    return render_table(lines);
}

/// Appends the programs whose home is the given entry.
void append_programs(nlohmann::json& rows, const http_client_reply& reply, const std::string& home,
                     bool with_ended)
{
    const auto document = parse_reply(reply.body);
    if (!document.is_object() || !document.contains("programs") || !document.at("programs").is_array())
    {
        return;
    }
    for (auto row : document.at("programs"))
    {
        if (!row.is_object() || (!with_ended && member_text(row, "ended") == "true"))
        {
            continue;
        }
        row["home"] = home;
        rows.push_back(std::move(row));
    }
}

exit_code run(const po::variables_map& options, console& output)
{
    const auto access = read_access(options, output);
    if (!access)
    {
        return exit_code::usage;
    }
    std::vector<http_client_request> requests;
    for (const auto& it : access->entries)
    {
        requests.push_back(make_request(it.address, "GET", "/v1/programs", access->token));
    }
    const auto replies = send_all(std::move(requests));
    auto rows = nlohmann::json::array();
    auto code = exit_code::ok;
    for (std::size_t n = 0; n < replies.size(); ++n)
    {
        code = std::max(code, check_reply(replies[n], access->entries[n].name, output));
        append_programs(rows, replies[n], access->entries[n].name, options.count("all") != 0);
    }
    output.out << (options.count("json") != 0 ? rows.dump() + "\n" : table_text(rows));
    return code;
}

} // namespace

const command_descriptor programs_command{"programs", "", "Lists the programs under way and their homes.",
                                          add_options, run};

} // namespace masticcourse::detail

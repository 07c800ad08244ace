// `masticcourse status`: shows the readiness and status of each entry.
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
    options.add_options()("json", "write JSON");
}

/// Replies of an entry to the readiness and status requests.
struct entry_status
{
    std::string name;
    http_client_reply ready;
    http_client_reply status;
};

std::vector<entry_status> query_entries(const deployment_access& access)
{
    std::vector<http_client_request> requests;
    for (const auto& it : access.entries)
    {
        requests.push_back(make_request(it.address, "GET", "/readyz", {}));
        requests.push_back(make_request(it.address, "GET", "/v1/status", access.token));
    }
    auto replies = send_all(std::move(requests));
    std::vector<entry_status> statuses;
    for (std::size_t n = 0; n < access.entries.size(); ++n)
    {
        statuses.push_back(
            {access.entries[n].name, std::move(replies[2 * n]), std::move(replies[2 * n + 1])});
    }
    return statuses;
}

std::string ready_text(const http_client_reply& reply)
{
    constexpr int status_ok = 200;
    if (reply.failure != http_failure::none)
    {
        return "unreachable";
    }
    return reply.status == status_ok ? "yes" : "no";
}

std::string peers_text(const nlohmann::json& status)
{
    if (!status.is_object() || !status.contains("peers") || !status.at("peers").is_array())
    {
        return "-";
    }
    const auto& peers = status.at("peers");
    const auto live =
        std::ranges::count_if(peers, [](const auto& it) { return member_text(it, "live") == "true"; });
    return std::to_string(live) + "/" + std::to_string(peers.size());
}

std::string table_text(const std::vector<entry_status>& statuses)
{
    constexpr std::array<std::string_view, 6> members{
        "programs", "calls_in_progress", "shards_owned", "calls_refused", "config", "store_reachable"};
    std::vector<table_line> lines{
        {"ENTRY", "READY", "PROGRAMS", "CALLS", "SHARDS", "REFUSED", "CONFIG", "STORE", "PEERS"}};
    for (const auto& it : statuses)
    {
        const auto status = parse_reply(it.status.body);
        table_line line{it.name, ready_text(it.ready)};
        for (const auto member : members)
        {
            line.push_back(member_text(status, member));
        }
        line.push_back(peers_text(status));
        lines.push_back(std::move(line));
    }
    return render_table(lines);
}

std::string json_text(const std::vector<entry_status>& statuses)
{
    auto rows = nlohmann::json::array();
    for (const auto& it : statuses)
    {
        rows.push_back(
            {{"entry", it.name}, {"ready", ready_text(it.ready)}, {"status", parse_reply(it.status.body)}});
    }
    return rows.dump() + "\n";
}

exit_code run(const po::variables_map& options, console& output)
{
    const auto access = read_access(options, output);
    if (!access)
    {
        return exit_code::usage;
    }
    const auto statuses = query_entries(*access);
    output.out << (options.count("json") != 0 ? json_text(statuses) : table_text(statuses));
    auto code = exit_code::ok;
    for (const auto& it : statuses)
    {
        code = std::max(code, check_reply(it.status, it.name, output));
    }
    return code;
}

} // namespace

const command_descriptor status_command{"status", "", "Shows the state of each entry.", add_options, run};

} // namespace masticcourse::detail

#include "masticcourse/daemon/vm_list.hpp"

#include <nlohmann/json.hpp>

namespace masticcourse
{

namespace
{

using nlohmann::json;

std::string text_at(const json& row, const char* key)
{
    const auto it = row.find(key);
    return it != row.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

known_process read_row(const json& row)
{
    return {.role = text_at(row, "role") == "target" ? process_role::target : process_role::entry,
            .name = {text_at(row, "name")},
            .address = text_at(row, "address"),
            .service = {text_at(row, "service")},
            .failure_domain = {text_at(row, "failure_domain")},
            .leaving = text_at(row, "state") == "leaving"};
}

} // namespace

std::optional<std::vector<known_process>> parse_vm_list(const std::string& text)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_array())
    {
        return std::nullopt;
    }
    std::vector<known_process> processes;
    for (const auto& row : document)
    {
        if (!row.is_object() || text_at(row, "name").empty())
        {
            return std::nullopt;
        }
        processes.push_back(read_row(row));
    }
    return processes;
}

} // namespace masticcourse

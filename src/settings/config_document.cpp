#include "masticcourse/settings/config_document.hpp"

#include "../input/guarded_json.hpp"
#include "../input/json_members.hpp"
#include "text_format.hpp"

#include "masticcourse/model/names.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace masticcourse
{

namespace
{

using detail::member_rule;
using detail::member_type;
using nlohmann::json;

constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::int64_t max_tokens = 1'000'000'000;

constexpr std::array service_rules{
    member_rule{
        .name = "kind", .type = member_type::kind, .required = true, .doc = "What a call of the service is."},
    member_rule{
        .name = "idempotent_default",
        .type = member_type::boolean,
        .doc = "Whether a call that doesn't say so may be run again; if left out, true for models only."},
    member_rule{.name = "default_deadline_ms",
                .type = member_type::integer,
                .minimum = 1,
                .maximum = max_deadline_ms,
                .doc = "Deadline of a call that names none."},
};

constexpr std::array workspace_rules{
    member_rule{.name = "max_budget",
                .type = member_type::integer,
                .minimum = 1,
                .maximum = max_tokens,
                .doc = "Most tokens that one program may be given."},
    member_rule{.name = "class",
                .type = member_type::priority,
                .doc = "Class of its programs, unless they ask for background."},
};

constexpr std::array target_rules{
    member_rule{
        .name = "leaving", .type = member_type::boolean, .doc = "Whether the target gets no new calls."},
};

constexpr std::array limits_rules{
    member_rule{.name = "turn_limit",
                .type = member_type::integer,
                .minimum = 1,
                .maximum = 100'000,
                .doc = "Turns that one program may have."},
    member_rule{.name = "repeat_limit",
                .type = member_type::integer,
                .minimum = 2,
                .maximum = 1000,
                .doc = "Times that one program may make the same call."},
};

/// A section of the document whose members have names chosen by operators.
struct section_rule
{
    std::string_view name;
    /// Placeholder for the names of the members in the reference.
    std::string_view placeholder;
    std::span<const member_rule> rules;
};

constexpr std::array sections{
    section_rule{"services", "NAME", service_rules},
    section_rule{"workspaces", "ID", workspace_rules},
    section_rule{"targets", "NAME", target_rules},
};

constexpr std::string_view limits_section = "limits";

void check_section(const json& section, const section_rule& rule, std::vector<config_error>& errors)
{
    const std::string pointer = detail::member_pointer("", rule.name);
    if (!section.is_object())
    {
        errors.push_back({pointer, "must be an object"});
        return;
    }
    for (const auto& [name, value] : section.items())
    {
        const std::string element = detail::member_pointer(pointer, name);
        if (const auto error = detail::validate_text(detail::text_format::name, name))
        {
            errors.push_back({element, "its name " + *error});
        }
        detail::check_members(value, element, rule.rules, errors);
    }
}

void check_sections(const json& document, std::vector<config_error>& errors)
{
    for (const auto& [name, value] : document.items())
    {
        const auto* const it = std::ranges::find(sections, std::string_view{name}, &section_rule::name);
        if (it != sections.end())
        {
            check_section(value, *it, errors);
        }
        else if (name == limits_section)
        {
            detail::check_members(value, detail::member_pointer("", limits_section), limits_rules, errors);
        }
        else
        {
            errors.push_back({detail::member_pointer("", name), "unknown member"});
        }
    }
}

std::vector<config_error> validate_document(const json& document)
{
    std::vector<config_error> errors;
    if (!document.is_object())
    {
        errors.push_back({"", "must be an object"});
        return errors;
    }
    check_sections(document, errors);
    return errors;
}

config_result validate_and_serialize(const json& document)
{
    auto errors = validate_document(document);
    if (!errors.empty())
    {
        return errors;
    }
    std::string text = document.dump();
    if (text.size() > max_config_size)
    {
        return std::vector{config_error{"", "longer than " + std::to_string(max_config_size) + " bytes"}};
    }
    return accepted_config{std::move(text)};
}

config_result make_error(std::string message)
{
    return std::vector{config_error{"", std::move(message)}};
}

service_config read_service(const std::string& name, const json& value)
{
    service_config row{.name = {name}};
    row.kind = detail::read_kind(value, "kind").value_or(row.kind);
    // A tool call may have side effects, so it is not repeated by default; repeating a model call is
    // harmless.
    row.idempotent_default =
        detail::read_member<bool>(value, "idempotent_default").value_or(row.kind == call_kind::model);
    row.default_deadline =
        detail::read_milliseconds(value, "default_deadline_ms").value_or(row.default_deadline);
    return row;
}

workspace_config read_workspace(const std::string& id, const json& value)
{
    workspace_config row{.id = {id}};
    row.max_budget = detail::read_member<token_count>(value, "max_budget").value_or(row.max_budget);
    row.priority = detail::read_priority(value, "class").value_or(row.priority);
    return row;
}

target_config read_target(const std::string& name, const json& value)
{
    target_config row{.name = {name}};
    row.leaving = detail::read_member<bool>(value, "leaving").value_or(row.leaving);
    return row;
}

limits_config read_limits(const json& document)
{
    limits_config limits;
    const json section = document.value(limits_section, json::object());
    limits.turn_limit = detail::read_member<std::uint32_t>(section, "turn_limit").value_or(limits.turn_limit);
    limits.repeat_limit =
        detail::read_member<std::uint32_t>(section, "repeat_limit").value_or(limits.repeat_limit);
    return limits;
}

template <typename Row>
std::vector<Row> read_section(const json& document, std::string_view name,
                              Row (*read)(const std::string&, const json&))
{
    std::vector<Row> rows;
    const json section = document.value(name, json::object());
    rows.reserve(section.size());
    for (const auto& [key, value] : section.items())
    {
        rows.push_back(read(key, value));
    }
    return rows;
}

template <typename Row, typename Name>
const Row* binary_find(const std::vector<Row>& rows, const Name& name, Name Row::*member)
{
    const auto it = std::ranges::lower_bound(rows, name, {}, member);
    return it != rows.end() && (*it).*member == name ? &*it : nullptr;
}

std::string reference_rows(const std::string& prefix, std::span<const member_rule> rules)
{
    std::string text;
    for (const auto& it : rules)
    {
        text.append("| `").append(prefix).append(".").append(it.name).append("` | ");
        text.append(detail::describe_type(it)).append(it.required ? ", required | " : " | ");
        text.append(it.doc).append(" |\n");
    }
    return text;
}

json service_to_json(const service_settings& service)
{
    return {{"kind", to_string(service.kind)},
            {"idempotent_default", service.kind == call_kind::model},
            {"default_deadline_ms", service.default_deadline.count()}};
}

json workspace_to_json(const workspace_settings& workspace)
{
    return {{"max_budget", workspace.max_budget}, {"class", to_string(workspace.priority)}};
}

} // namespace

const service_config* config_view::find_service(const service_name& name) const
{
    return binary_find(services, name, &service_config::name);
}

const workspace_config* config_view::find_workspace(const workspace_id& id) const
{
    return binary_find(workspaces, id, &workspace_config::id);
}

const target_config* config_view::find_target(const process_name& name) const
{
    return binary_find(targets, name, &target_config::name);
}

config_result apply_merge_patch(const std::string& document, const std::string& patch)
{
    auto base = detail::parse_bounded_json(document, max_config_size);
    if (!base.error.empty())
    {
        return make_error("the document in force: " + base.error);
    }
    const auto parsed_patch = detail::parse_bounded_json(patch, max_config_size);
    if (!parsed_patch.error.empty())
    {
        return make_error("the patch: " + parsed_patch.error);
    }
    base.value.merge_patch(parsed_patch.value);
    return validate_and_serialize(base.value);
}

config_result check_config(const std::string& document)
{
    const auto parsed = detail::parse_bounded_json(document, max_config_size);
    return parsed.error.empty() ? validate_and_serialize(parsed.value) : make_error(parsed.error);
}

std::optional<config_view> parse_config(const std::string& document)
{
    const auto parsed = detail::parse_bounded_json(document, max_config_size);
    if (!parsed.error.empty() || !validate_document(parsed.value).empty())
    {
        return std::nullopt;
    }
    return config_view{.services = read_section(parsed.value, "services", read_service),
                       .workspaces = read_section(parsed.value, "workspaces", read_workspace),
                       .targets = read_section(parsed.value, "targets", read_target),
                       .limits = read_limits(parsed.value)};
}

std::string initial_config(const deployment_settings& settings)
{
    json document{
        {"limits",
         {{"turn_limit", settings.limits.turn_limit}, {"repeat_limit", settings.limits.repeat_limit}}}};
    for (const auto& it : settings.services)
    {
        document["services"][it.name.value] = service_to_json(it);
    }
    for (const auto& it : settings.workspaces)
    {
        document["workspaces"][it.id.value] = workspace_to_json(it);
    }
    return document.dump();
}

std::string config_reference()
{
    std::string text = "| member | type | meaning |\n| --- | --- | --- |\n";
    for (const auto& it : sections)
    {
        text += reference_rows(std::string{it.name} + "." + std::string{it.placeholder}, it.rules);
    }
    return text + reference_rows(std::string{limits_section}, limits_rules);
}

std::string to_string(const std::vector<config_error>& errors)
{
    std::string text;
    for (const auto& it : errors)
    {
        text.append(text.empty() ? "" : "; ").append(it.pointer);
        text.append(it.pointer.empty() ? "" : ": ").append(it.message);
    }
    return text;
}

} // namespace masticcourse

#include "masticcourse/input/json_input.hpp"

#include "guarded_json.hpp"
#include "json_members.hpp"

#include <array>
#include <limits>
#include <utility>

namespace masticcourse
{

namespace
{

using detail::member_rule;
using detail::member_type;
using nlohmann::json;

constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr std::int64_t max_tokens = 1'000'000'000;
constexpr std::int64_t max_turns = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t max_program_id_length = 128;
constexpr std::size_t max_key_length = 256;
constexpr std::string_view idempotency_key_header = "Idempotency-Key";

constexpr std::array program_rules{
    member_rule{.name = "workspace", .type = member_type::name},
    member_rule{.name = "class", .type = member_type::priority},
    member_rule{.name = "budget",
                .type = member_type::integer,
                .required = true,
                .minimum = 1,
                .maximum = max_tokens},
    member_rule{
        .name = "deadline_ms", .type = member_type::integer, .minimum = 1, .maximum = max_duration_ms},
    member_rule{
        .name = "parent", .type = member_type::string, .minimum = 1, .maximum = max_program_id_length},
};

std::array<member_rule, 6> call_rules(const input_limits& limits)
{
    return {
        member_rule{.name = "service", .type = member_type::name, .required = true},
        member_rule{.name = "input",
                    .type = member_type::string,
                    .required = true,
                    .maximum = static_cast<std::int64_t>(limits.max_input)},
        member_rule{.name = "idempotent", .type = member_type::boolean},
        member_rule{.name = "max_tokens", .type = member_type::integer, .maximum = max_tokens},
        member_rule{
            .name = "deadline_ms", .type = member_type::integer, .minimum = 1, .maximum = max_duration_ms},
        member_rule{.name = "after", .type = member_type::integer, .maximum = max_turns},
    };
}

problem invalid_field_problem(const std::vector<config_error>& errors)
{
    return {.id = problem_id::invalid_field, .ran = ran_state::no, .detail = to_string(errors)};
}

/// An object that conforms to its member rules, or a problem.
using validated_object = std::variant<json, problem>;

validated_object parse_object(const std::string& body, const input_limits& limits,
                              std::span<const member_rule> rules, std::vector<config_error> errors)
{
    if (body.size() > limits.max_body)
    {
        return problem{.id = problem_id::body_too_large, .ran = ran_state::no};
    }
    auto parsed = detail::parse_bounded_json(body, limits.max_body);
    if (!parsed.error.empty())
    {
        return problem{.id = problem_id::malformed_request, .ran = ran_state::no, .detail = parsed.error};
    }
    detail::check_members(parsed.value, "", rules, errors);
    if (!errors.empty())
    {
        return invalid_field_problem(errors);
    }
    return std::move(parsed.value);
}

std::vector<config_error> validate_key(const call_key& key)
{
    if (key.empty() || key.value.size() > max_key_length)
    {
        return {{std::string{idempotency_key_header},
                 "must have from 1 to " + std::to_string(max_key_length) + " bytes"}};
    }
    return {};
}

call_request make_call_request(const json& body, const call_key& key)
{
    return {.key = key,
            .service = {body.at("service").get<std::string>()},
            .input = body.at("input").get<std::string>(),
            .idempotent = detail::read_member<bool>(body, "idempotent").value_or(false),
            .max_tokens = detail::read_member<token_count>(body, "max_tokens").value_or(default_max_tokens),
            .deadline = detail::read_milliseconds(body, "deadline_ms"),
            .after = detail::read_member<std::uint32_t>(body, "after")};
}

std::variant<call_request, problem> apply_service_config(call_request call, const json& body,
                                                         const config_view& config)
{
    const auto* const service = config.find_service(call.service);
    if (service == nullptr)
    {
        return problem{.id = problem_id::unknown_service, .ran = ran_state::no, .detail = call.service.value};
    }
    call.kind = service->kind;
    call.idempotent = detail::read_member<bool>(body, "idempotent").value_or(service->idempotent_default);
    call.deadline = call.deadline.value_or(service->default_deadline);
    return call;
}

} // namespace

std::variant<program_spec, problem> read_program_spec(const std::string& body, const input_limits& limits)
{
    const auto validated = parse_object(body, limits, program_rules, {});
    if (const auto* const error = std::get_if<problem>(&validated))
    {
        return *error;
    }
    const auto& object = std::get<json>(validated);
    program_spec spec;
    spec.workspace.value = detail::read_member<std::string>(object, "workspace").value_or("");
    spec.priority = detail::read_priority(object, "class").value_or(spec.priority);
    spec.budget = object.at("budget").get<token_count>();
    spec.deadline = detail::read_milliseconds(object, "deadline_ms");
    spec.parent.value = detail::read_member<std::string>(object, "parent").value_or("");
    return spec;
}

std::variant<call_request, problem> read_call_request(const std::string& body, const call_key& key,
                                                      const input_limits& limits, const config_view* config)
{
    const auto validated = parse_object(body, limits, call_rules(limits), validate_key(key));
    if (const auto* const error = std::get_if<problem>(&validated))
    {
        return *error;
    }
    const auto& object = std::get<json>(validated);
    auto call = make_call_request(object, key);
    if (config == nullptr)
    {
        return call;
    }
    return apply_service_config(std::move(call), object, *config);
}

} // namespace masticcourse

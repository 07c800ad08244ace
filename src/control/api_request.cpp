#include "masticcourse/control/api_request.hpp"

#include "masticcourse/input/json_input.hpp"
#include "masticcourse/net/percent.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

namespace masticcourse
{

namespace
{

constexpr std::size_t longest_key = 200;

parsed_request refuse(problem_id id, std::string detail)
{
    return {.error = {id, ran_state::no, std::move(detail)}};
}

/// The decoded segments of a path; empty if an escape is malformed.
std::vector<std::string> segments_of(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty())
    {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto end = std::min(path.find('/'), path.size());
        auto segment = percent_decode(path.substr(0, end));
        if (!segment)
        {
            return {};
        }
        segments.push_back(std::move(*segment));
        path.remove_prefix(end);
    }
    return segments;
}

/// What the readers of one route get.
struct route_input
{
    const forward_request& raw;
    const std::vector<std::string>& path;
    const config_view& config;
};

parsed_request read_create(const route_input& in)
{
    auto read = read_program_spec(in.raw.body);
    if (const auto* const failure = std::get_if<problem>(&read))
    {
        return {.error = *failure};
    }
    const auto& named = std::get<program_spec>(read).workspace;
    if (!named.empty() && named != in.raw.workspace)
    {
        return refuse(problem_id::invalid_field, "workspace: the token is another workspace's");
    }
    if (in.raw.key.size() > longest_key)
    {
        return refuse(problem_id::invalid_field, "Idempotency-Key: too long");
    }
    return {.request = create_program{in.raw.key, std::get<program_spec>(std::move(read))}};
}

parsed_request read_submit(const route_input& in)
{
    auto read = read_call_request(in.raw.body, call_key{in.raw.key}, {}, &in.config);
    if (const auto* const failure = std::get_if<problem>(&read))
    {
        return {.error = *failure};
    }
    return {.request = submit_call{program_id{in.path.at(2)}, std::get<call_request>(std::move(read))}};
}

parsed_request read_get_call(const route_input& in)
{
    return {.request = get_call{program_id{in.path.at(2)}, call_key{in.path.at(4)}}};
}

parsed_request read_history(const route_input& in)
{
    return {.request = get_history{program_id{in.path.at(2)}}};
}

parsed_request read_end(const route_input& in)
{
    return {.request = end_program{program_id{in.path.at(2)}}};
}

parsed_request read_patch(const route_input& in)
{
    if (!in.raw.if_match)
    {
        return refuse(problem_id::invalid_field, "If-Match: the version that the patch is made against");
    }
    return {.request = patch_config{*in.raw.if_match, in.raw.body}};
}

template <typename Request>
parsed_request read_plain(const route_input& /*in*/)
{
    return {.request = Request{}};
}

/// One route; an empty segment of the pattern stands for any text.
struct route_row
{
    std::string_view method;
    std::array<std::string_view, 5> pattern;
    std::size_t segments;
    bool operators;
    parsed_request (*read)(const route_input&);
};

constexpr std::array route_table{
    route_row{"POST", {"v1", "programs"}, 2, false, read_create},
    route_row{"GET", {"v1", "programs"}, 2, true, read_plain<list_programs>},
    route_row{"POST", {"v1", "programs", "", "calls"}, 4, false, read_submit},
    route_row{"GET", {"v1", "programs", "", "calls", ""}, 5, false, read_get_call},
    route_row{"GET", {"v1", "programs", "", "history"}, 4, false, read_history},
    route_row{"DELETE", {"v1", "programs", ""}, 3, false, read_end},
    route_row{"GET", {"v1", "status"}, 2, true, read_plain<get_status>},
    route_row{"GET", {"v1", "config"}, 2, true, read_plain<get_config>},
    route_row{"PATCH", {"v1", "config"}, 2, true, read_patch},
};

bool matches(const route_row& row, const std::vector<std::string>& path)
{
    const auto same = [](std::string_view pattern, const std::string& segment)
    { return pattern.empty() ? !segment.empty() : pattern == segment; };
    return path.size() == row.segments && std::equal(path.begin(), path.end(), row.pattern.begin(),
                                                     [&](const std::string& segment, std::string_view pattern)
                                                     { return same(pattern, segment); });
}

struct program_visitor
{
    program_id operator()(const create_program& it) const
    {
        return it.spec.parent;
    }

    program_id operator()(const submit_call& it) const
    {
        return it.program;
    }

    program_id operator()(const get_call& it) const
    {
        return it.program;
    }

    program_id operator()(const get_history& it) const
    {
        return it.program;
    }

    program_id operator()(const end_program& it) const
    {
        return it.program;
    }

    template <typename Other>
    program_id operator()(const Other& /*it*/) const
    {
        return {};
    }
};

} // namespace

parsed_request parse_api_request(const forward_request& raw, const config_view& config)
{
    const auto path = segments_of(split_target(raw.path).path);
    const bool known_path =
        std::ranges::any_of(route_table, [&](const route_row& row) { return matches(row, path); });
    if (!known_path)
    {
        return refuse(problem_id::unknown_path, "there is nothing at this path");
    }
    const auto* const route = std::ranges::find_if(
        route_table, [&](const route_row& row) { return row.method == raw.method && matches(row, path); });
    if (route == route_table.end())
    {
        return refuse(problem_id::wrong_method, "this path does not take " + raw.method);
    }
    if (route->operators != raw.workspace.empty())
    {
        return refuse(problem_id::unauthorized, route->operators ? "this takes the operators' token"
                                                                 : "this takes a workspace's token");
    }
    return route->read({raw, path, config});
}

program_id program_of(const api_request& request)
{
    return std::visit(program_visitor{}, request);
}

} // namespace masticcourse

// `masticcourse patch`: submits a JSON merge patch against a numbered version of the configuration.
#include "deployment_access.hpp"

#include <ostream>

namespace masticcourse::detail
{

namespace
{

void add_options(po::options_description& options)
{
    add_access_options(options);
    options.add_options()(
        "expect", po::value<std::uint64_t>(),
        "the version that the patch is made against; without it and without FILE the version "
        "in force is shown");
    options.add_options()("json", "write the document alone");
}

/// The version in an entity tag, without its quotes.
std::string version_text(const http_client_reply& reply)
{
    auto tag = reply.header("ETag").value_or("unknown");
    std::erase(tag, '"');
    return tag;
}

void write_document(const http_client_reply& reply, bool as_json, console& to)
{
    if (!as_json)
    {
        to.out << "version " << version_text(reply) << "\n";
    }
    to.out << reply.body << "\n";
}

exit_code show_config(const deployment_access& access, bool as_json, console& to)
{
    const auto reply = send_to_any(access, make_request({}, "GET", "/v1/config", access.token));
    const auto code = judge_reply(reply, "GET /v1/config", to);
    if (code == exit_code::ok)
    {
        write_document(reply, as_json, to);
    }
    return code;
}

exit_code send_patch(const deployment_access& access, const std::string& patch, std::uint64_t expected,
                     bool as_json, console& to)
{
    auto request = make_request({}, "PATCH", "/v1/config", access.token);
    request.headers.push_back({"If-Match", "\"" + std::to_string(expected) + "\""});
    request.headers.push_back({"Content-Type", "application/merge-patch+json"});
    request.body = patch;
    const auto reply = send_to_any(access, std::move(request));
    const auto code = judge_reply(reply, "PATCH /v1/config", to);
    if (code == exit_code::ok)
    {
        write_document(reply, as_json, to);
    }
    return code;
}

exit_code run(const po::variables_map& options, console& to)
{
    const auto path = argument_of(options);
    const bool has_version = options.count("expect") != 0;
    if (path.empty() == has_version)
    {
        to.err << "patch: --expect VERSION and FILE go together\n";
        return exit_code::usage;
    }
    const auto access = read_access(options, to);
    if (!access)
    {
        return exit_code::usage;
    }
    const bool as_json = options.count("json") != 0;
    if (path.empty())
    {
        return show_config(*access, as_json, to);
    }
    const auto patch = read_file(path);
    if (!patch)
    {
        to.err << path << ": can't be read\n";
        return exit_code::usage;
    }
    return send_patch(*access, *patch, options["expect"].as<std::uint64_t>(), as_json, to);
}

} // namespace

const command_row patch_command{"patch", "[FILE]", "Patches the configuration, or shows the one in force.",
                                add_options, run};

} // namespace masticcourse::detail

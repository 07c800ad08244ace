// `masticcourse patch`: submits a JSON merge patch against a given version of the configuration, or prints
// the current configuration.
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

/// @return the version from the `ETag` header, without quotes
std::string version_text(const http_client_reply& reply)
{
    auto tag = reply.header("ETag").value_or("unknown");
    std::erase(tag, '"');
    return tag;
}

void write_document(const http_client_reply& reply, bool as_json, console& output)
{
    if (!as_json)
    {
        output.out << "version " << version_text(reply) << "\n";
    }
    output.out << reply.body << "\n";
}

exit_code show_config(const deployment_access& access, bool as_json, console& output)
{
    const auto reply = send_with_failover(access, make_request({}, "GET", "/v1/config", access.token));
    const auto code = check_reply(reply, "GET /v1/config", output);
    if (code == exit_code::ok)
    {
        write_document(reply, as_json, output);
    }
    return code;
}

exit_code send_patch(const deployment_access& access, const std::string& patch, std::uint64_t expected,
                     bool as_json, console& output)
{
    auto request = make_request({}, "PATCH", "/v1/config", access.token);
    request.headers.push_back({"If-Match", "\"" + std::to_string(expected) + "\""});
    request.headers.push_back({"Content-Type", "application/merge-patch+json"});
    request.body = patch;
    const auto reply = send_with_failover(access, std::move(request));
    const auto code = check_reply(reply, "PATCH /v1/config", output);
    if (code == exit_code::ok)
    {
        write_document(reply, as_json, output);
    }
    return code;
}

exit_code run(const po::variables_map& options, console& output)
{
    const auto path = positional_argument(options);
    const bool has_version = options.count("expect") != 0;
    if (path.empty() == has_version)
    {
        output.err << "patch: --expect VERSION and FILE must be used together\n";
        return exit_code::usage;
    }
    const auto access = read_access(options, output);
    if (!access)
    {
        return exit_code::usage;
    }
    const bool as_json = options.count("json") != 0;
    if (path.empty())
    {
        return show_config(*access, as_json, output);
    }
    const auto patch = read_file(path);
    if (!patch)
    {
        output.err << path << ": cannot read file\n";
        return exit_code::usage;
    }
    return send_patch(*access, *patch, options["expect"].as<std::uint64_t>(), as_json, output);
}

} // namespace

const command_descriptor patch_command{
    "patch", "[FILE]", "Patches the configuration, or shows the one in force.", add_options, run};

} // namespace masticcourse::detail

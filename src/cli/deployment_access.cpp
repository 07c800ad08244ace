#include "deployment_access.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

namespace masticcourse::detail
{

namespace
{

constexpr int first_non_success_status = 300;

std::string first_line(const std::string& text)
{
    std::string line = text.substr(0, text.find_first_of("\r\n"));
    return line;
}

std::optional<deployment_access> access_from_settings(const std::string& path, console& output)
{
    const auto settings = load_settings(path, output);
    if (!settings)
    {
        return std::nullopt;
    }
    deployment_access access{.token = settings->operator_token};
    const auto to_endpoint = [](const entry_settings& it) {
        return process_endpoint{it.name.value, it.http_address};
    };
    std::ranges::transform(settings->entries, std::back_inserter(access.entries), to_endpoint);
    return access;
}

} // namespace

void add_access_options(po::options_description& options)
{
    options.add_options()("settings", po::value<std::string>(), "the deployment's settings file");
    options.add_options()("entry", po::value<std::string>(),
                          "IP:port of one entry, in place of the settings'");
    options.add_options()("token-file", po::value<std::string>(),
                          "file whose first line is the operators' token, in place of the settings'");
}

std::optional<deployment_access> read_access(const po::variables_map& options, console& output)
{
    std::optional<deployment_access> access = deployment_access{};
    if (options.count("settings") != 0)
    {
        access = access_from_settings(option_text(options, "settings"), output);
    }
    else if (options.count("entry") == 0)
    {
        output.err << "either --settings or --entry is required\n";
        return std::nullopt;
    }
    if (access && options.count("entry") != 0)
    {
        const auto address = option_text(options, "entry");
        access->entries = {{address, address}};
    }
    if (access && options.count("token-file") != 0)
    {
        const auto content = read_file(option_text(options, "token-file"));
        if (!content)
        {
            output.err << option_text(options, "token-file") << ": cannot read file\n";
            return std::nullopt;
        }
        access->token = first_line(*content);
    }
    return access;
}

std::optional<deployment_settings> load_settings(const std::string& path, console& output)
{
    auto result = read_settings(path);
    if (const auto* const faults = std::get_if<std::vector<settings_diagnostic>>(&result))
    {
        for (const auto& it : *faults)
        {
            output.err << to_string(it) << "\n";
        }
        return std::nullopt;
    }
    return std::get<deployment_settings>(std::move(result));
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
    {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

bool write_file(const std::string& path, const std::string& content)
{
    std::ofstream file{path, std::ios::binary};
    file << content;
    return static_cast<bool>(file.flush());
}

http_client_request make_request(const std::string& address, std::string method, std::string target,
                                 const std::string& token)
{
    http_client_request request{.address = address,
                                .method = std::move(method),
                                .target = std::move(target),
                                .timeout = request_timeout};
    if (!token.empty())
    {
        request.headers.push_back({"Authorization", "Bearer " + token});
    }
    return request;
}

std::vector<http_client_reply> send_all(std::vector<http_client_request> requests)
{
    std::vector<http_client_reply> replies(requests.size());
    boost::asio::io_context context;
    http_client client{context};
    std::size_t pending = requests.size();
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        const auto on_reply = [&, n](http_client_reply reply)
        {
            replies[n] = std::move(reply);
            // Stop explicitly: idle keep-alive connections would keep run() from returning.
            if (--pending == 0)
            {
                context.stop();
            }
        };
        client.send(std::move(requests[n]), on_reply);
    }
    if (pending != 0)
    {
        context.run();
    }
    return replies;
}

http_client_reply send_with_failover(const deployment_access& access, http_client_request request)
{
    http_client_reply reply{.failure = http_failure::connect};
    for (const auto& it : access.entries)
    {
        request.address = it.address;
        reply = send_all({request}).front();
        if (reply.failure != http_failure::connect)
        {
            break;
        }
    }
    return reply;
}

exit_code check_reply(const http_client_reply& reply, const std::string& name, console& output)
{
    if (reply.failure != http_failure::none)
    {
        output.err << name << ": " << to_string(reply.failure) << "\n";
        return exit_code::unreachable;
    }
    if (reply.status >= first_non_success_status)
    {
        output.err << name << ": HTTP " << reply.status << " " << reply.body << "\n";
        return exit_code::remote_failure;
    }
    return exit_code::ok;
}

} // namespace masticcourse::detail

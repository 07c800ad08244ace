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

constexpr int first_failure_status = 300;

std::string first_line(const std::string& text)
{
    std::string line = text.substr(0, text.find_first_of("\r\n"));
    return line;
}

std::optional<deployment_access> access_of_settings(const std::string& path, console& to)
{
    const auto settings = load_settings(path, to);
    if (!settings)
    {
        return std::nullopt;
    }
    deployment_access access{.token = settings->operator_token};
    const auto to_access = [](const entry_settings& it) {
        return process_access{it.name.value, it.http_address};
    };
    std::ranges::transform(settings->entries, std::back_inserter(access.entries), to_access);
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

std::optional<deployment_access> read_access(const po::variables_map& options, console& to)
{
    std::optional<deployment_access> access = deployment_access{};
    if (options.count("settings") != 0)
    {
        access = access_of_settings(text_of(options, "settings"), to);
    }
    else if (options.count("entry") == 0)
    {
        to.err << "either --settings or --entry is needed\n";
        return std::nullopt;
    }
    if (access && options.count("entry") != 0)
    {
        const auto address = text_of(options, "entry");
        access->entries = {{address, address}};
    }
    if (access && options.count("token-file") != 0)
    {
        const auto content = read_file(text_of(options, "token-file"));
        if (!content)
        {
            to.err << text_of(options, "token-file") << ": can't be read\n";
            return std::nullopt;
        }
        access->token = first_line(*content);
    }
    return access;
}

std::optional<deployment_settings> load_settings(const std::string& path, console& to)
{
    auto result = read_settings(path);
    if (const auto* const faults = std::get_if<std::vector<settings_diagnostic>>(&result))
    {
        for (const auto& it : *faults)
        {
            to.err << to_string(it) << "\n";
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
    http_client_request request{
        .address = address, .method = std::move(method), .target = std::move(target), .timeout = answer_wait};
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
    std::size_t waiting = requests.size();
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        const auto take = [&, n](http_client_reply reply)
        {
            replies[n] = std::move(reply);
            // Idle connections would keep the context busy.
            if (--waiting == 0)
            {
                context.stop();
            }
        };
        client.send(std::move(requests[n]), take);
    }
    if (waiting != 0)
    {
        context.run();
    }
    return replies;
}

http_client_reply send_to_any(const deployment_access& access, http_client_request request)
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

exit_code judge_reply(const http_client_reply& reply, const std::string& name, console& to)
{
    if (reply.failure != http_failure::none)
    {
        to.err << name << ": " << to_string(reply.failure) << "\n";
        return exit_code::unreachable;
    }
    if (reply.status >= first_failure_status)
    {
        to.err << name << ": HTTP " << reply.status << " " << reply.body << "\n";
        return exit_code::remote_failure;
    }
    return exit_code::ok;
}

} // namespace masticcourse::detail

#include "standin_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options/parsers.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <thread>
#include <vector>

namespace masticcourse::standins
{

namespace
{

constexpr int io_thread_count = 2;

} // namespace

std::optional<boost::program_options::variables_map>
read_options(int argc, const char* const* argv, boost::program_options::options_description options)
{
    namespace po = boost::program_options;
    options.add_options()("help", "says what the options mean")(
        "listen", po::value<std::string>()->default_value("127.0.0.1:0"), "ip:port to serve HTTP on");
    po::variables_map values;
    try
    {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    }
    catch (const po::error& error)
    {
        std::cerr << error.what() << "\n" << options;
        return std::nullopt;
    }
    if (values.count("help") > 0)
    {
        std::cout << options;
        return std::nullopt;
    }
    return values;
}

int serve(boost::asio::io_context& context, const boost::program_options::variables_map& options,
          const http_handler& handler)
{
    try
    {
        const http_server server(context, options["listen"].as<std::string>(), {}, handler);
        // Whoever starts a stand-in on any free port reads here which one it is.
        std::cout << "listening on port " << server.port() << std::endl;
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        std::vector<std::jthread> threads;
        for (int it = 0; it < io_thread_count; ++it)
        {
            threads.emplace_back([&context] { context.run(); });
        }
        threads.clear();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
        return 1;
    }
}

} // namespace masticcourse::standins

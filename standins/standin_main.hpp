/// @file
/// Common main function of the small HTTP stand-ins.
#pragma once

#include "masticcourse/net/http_server.hpp"
#include "routes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

namespace masticcourse::standins
{

/// Parses `--listen` and further options, and serves until a signal.
/// @param description  name and purpose of the program, for the help text
/// @param options      options besides `--listen` and `--help`
/// @param make_handler creates the handler after the options are parsed
/// @return the exit code
inline int standin_main(int argc, char** argv, const std::string& description,
                        const boost::program_options::options_description& options,
                        const std::function<http_handler(boost::asio::io_context&)>& make_handler)
{
    namespace po = boost::program_options;
    try
    {
        std::string address;
        po::options_description all{description};
        all.add_options()("help", "print this help");
        all.add_options()("listen", po::value(&address)->default_value("127.0.0.1:0"),
                          "ip:port; port 0: any");
        all.add(options);
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, all), variables);
        po::notify(variables);
        if (variables.contains("help"))
        {
            std::cout << all;
            return EXIT_SUCCESS;
        }
        boost::asio::io_context context{1};
        http_limits limits;
        limits.max_body = std::size_t{64} << 20U;
        const http_server server{context, address, limits, make_handler(context)};
        serve_until_signal(context, server);
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error)
    {
        std::cerr << description << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

} // namespace masticcourse::standins

// Stand-in for a plain service, with fault injection.
#include "plain_service.hpp"
#include "routes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace po = boost::program_options;
using namespace masticcourse;

int main(int argc, char** argv)
{
    try
    {
        std::string address;
        po::options_description all{"plain-service: a stand-in for a plain service"};
        all.add_options()("help", "print this help");
        all.add_options()("listen", po::value(&address)->default_value("127.0.0.1:0"),
                          "ip:port; port 0: any");
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, all), variables);
        po::notify(variables);
        if (variables.contains("help"))
        {
            std::cout << all;
            return EXIT_SUCCESS;
        }
        boost::asio::io_context context{1};
        standins::plain_service service{context};
        const http_server server{
            context,
            address,
            {},
            [&service](const http_request& request, std::shared_ptr<http_exchange> exchange)
            { service.handle(request, std::move(exchange)); }};
        standins::serve_until_signal(context, server);
        return EXIT_SUCCESS;
    }
    catch (const std::exception& e)
    {
        std::cerr << "plain-service: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}

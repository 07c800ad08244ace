// Stand-in for a site of the users' platform on the loopback interface: its store, one model engine, one
// plain service and a configuration. Prints the requests received by the targets on exit.
#include "platform_target.hpp"
#include "table_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace
{

using masticcourse::standins::platform_target;
using masticcourse::standins::table_service;

constexpr const char* config = R"({"version":1,"routes":[
  {"name":"turns","host":"demo.example","prefix":"/turn/","type":"streaming","timeoutMs":5000,"service":"engine",
   "maxAttempts":2,"retentionEnabled":true,"retentionS":60.0},
  {"name":"orders","host":"demo.example","prefix":"/order/","type":"non_idempotent","service":"desk","timeoutMs":5000}],
  "services":[{"name":"engine","engine":{"tokensPerEvent":10}},{"name":"desk"}]})";

void print_requests(const std::string& name, const platform_target& target)
{
    for (const auto& it : target.requests())
    {
        std::cout << name << " was asked " << it.target << ":\n" << it.body << '\n';
    }
}

void run_site(const std::string& store_address)
{
    boost::asio::io_context context{1};
    table_service store{context, store_address};
    const platform_target engine{context, "127.0.0.1:0", "i-engine", true};
    const platform_target desk{context, "127.0.0.1:0", "i-desk", false};
    store.put("op", "config", config);
    store.put("servers", "i-engine", engine.registry_entry("engine", "ready"));
    store.put("servers", "i-desk", desk.registry_entry("desk", "ready"));
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](auto, int) { context.stop(); });
    context.run();
    print_requests("engine", engine);
    print_requests("desk", desk);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        run_site(argc > 1 ? argv[1] : "127.0.0.1:7700");
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error)
    {
        std::cerr << "users-platform: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

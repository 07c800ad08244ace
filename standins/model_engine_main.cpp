// Stand-in for a model engine: serves the engine model over HTTP, with fault injection.
#include "engine_http.hpp"
#include "masticcourse/net/http_server.hpp"
#include "routes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace
{

namespace po = boost::program_options;
using namespace masticcourse;
using namespace masticcourse::standins;

po::options_description make_options_description(std::string& address, engine_http_options& options)
{
    po::options_description all{"model-engine: a stand-in for a model engine"};
    auto& engine = options.engine;
    all.add_options()("help", "print this help");
    all.add_options()("listen", po::value(&address)->default_value("127.0.0.1:0"), "ip:port; port 0: any");
    all.add_options()("max-running", po::value(&engine.max_running)->default_value(engine.max_running),
                      "most sequences in the batch");
    all.add_options()("cache-capacity",
                      po::value(&engine.cache_capacity)->default_value(engine.cache_capacity),
                      "memory in tokens");
    all.add_options()("prefill-rate", po::value(&engine.prefill_rate)->default_value(engine.prefill_rate),
                      "prompt tokens a second");
    all.add_options()("check-fencing", po::bool_switch(&options.check_fencing),
                      "refuse orders with an old fencing number");
    all.add_options()("event-gap", po::value(&options.event_gap)->default_value(options.event_gap),
                      "lose every n-th cache event; 0: none");
    all.add_options()("decode-step-us", po::value<std::int64_t>(), "base time of a decoding step");
    all.add_options()("load-lag-ms", po::value<std::int64_t>(), "how old the reported load is");
    all.add_options()("event-delay-ms", po::value<std::int64_t>(), "how late cache events are");
    return all;
}

void apply_durations(const po::variables_map& variables, engine_http_options& options)
{
    if (variables.contains("decode-step-us"))
    {
        options.engine.decode_step = core_duration{variables["decode-step-us"].as<std::int64_t>()};
    }
    if (variables.contains("load-lag-ms"))
    {
        options.load_lag = std::chrono::milliseconds{variables["load-lag-ms"].as<std::int64_t>()};
    }
    if (variables.contains("event-delay-ms"))
    {
        options.event_delay = std::chrono::milliseconds{variables["event-delay-ms"].as<std::int64_t>()};
    }
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        std::string address;
        engine_http_options options;
        const auto all = make_options_description(address, options);
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, all), variables);
        po::notify(variables);
        if (variables.contains("help"))
        {
            std::cout << all;
            return EXIT_SUCCESS;
        }
        apply_durations(variables, options);
        boost::asio::io_context context{1};
        engine_http engine{context, options};
        const http_server server{
            context,
            address,
            {},
            [&engine](const http_request& request, std::shared_ptr<http_exchange> exchange)
            { engine.handle(request, std::move(exchange)); }};
        serve_until_signal(context, server);
        return EXIT_SUCCESS;
    }
    catch (const std::exception& e)
    {
        std::cerr << "model-engine: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}

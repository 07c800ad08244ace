// The platform's table service and object store, as a process for tests and trials.
#include "platform_store_http.hpp"
#include "standin_process.hpp"

#include <boost/asio/io_context.hpp>

int main(int argc, char** argv)
{
    using namespace masticcourse;
    const auto options = standins::read_options(
        argc, argv, boost::program_options::options_description{"platform-store: a stand-in, in memory"});
    if (!options)
    {
        return 0;
    }
    boost::asio::io_context context;
    standins::platform_store_http store(context);
    return standins::serve(
        context, *options,
        [&store](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        { store.handle(request, exchange); });
}

// Stand-in for the platform's table service and object store, with fault injection.
#include "standin_main.hpp"
#include "store_http.hpp"

int main(int argc, char** argv)
{
    using namespace masticcourse;
    const auto make_handler = [](boost::asio::io_context& context) -> http_handler
    {
        auto service = std::make_shared<standins::store_http>(context);
        return [service](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        { service->handle(request, exchange); };
    };
    return standins::standin_main(argc, argv, "platform-store: a stand-in for the platform's store", {},
                                  make_handler);
}

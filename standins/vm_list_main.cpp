// Stand-in for the platform's list of VMs.
#include "standin_main.hpp"
#include "vm_list.hpp"

int main(int argc, char** argv)
{
    using namespace masticcourse;
    std::int64_t lag = 0;
    boost::program_options::options_description options;
    options.add_options()("lag-ms", boost::program_options::value(&lag)->default_value(0),
                          "how old what is shown is");
    const auto make_handler = [&lag](boost::asio::io_context& /*context*/) -> http_handler
    {
        auto list = std::make_shared<standins::vm_list>(std::chrono::milliseconds{lag});
        return [list](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
        { list->handle(request, exchange); };
    };
    return standins::standin_main(argc, argv, "vm-list: a stand-in for the platform's list of VMs", options,
                                  make_handler);
}

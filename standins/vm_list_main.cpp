// The platform's list of VMs, as a process for tests and trials.
#include "standin_process.hpp"
#include "vm_list.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <mutex>
#include <stdexcept>

namespace
{

using namespace masticcourse;

core_time now()
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return core_time{std::chrono::duration_cast<core_duration>(since_start)};
}

http_response put_list(standins::vm_list& list, const std::string& body)
{
    try
    {
        list.replace(standins::vms_from_json(body), now());
        return {.status = 204};
    }
    catch (const std::invalid_argument& error)
    {
        return problem_response({.id = problem_id::malformed_request, .detail = error.what()});
    }
}

http_response answer(standins::vm_list& list, const http_request& request)
{
    if (request.target != "/vms")
    {
        return problem_response({.id = problem_id::unknown_path});
    }
    if (request.method == "GET")
    {
        return {.body = standins::vms_to_json(list.shown(now()))};
    }
    return request.method == "PUT" ? put_list(list, request.body)
                                   : problem_response({.id = problem_id::wrong_method});
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description description{"vm-list: a stand-in for the platform's list of VMs"};
    description.add_options()("lag-ms", po::value<int>()->default_value(0), "how late changes show");
    const auto options = standins::read_options(argc, argv, description);
    if (!options)
    {
        return 0;
    }
    boost::asio::io_context context;
    std::mutex mutex;
    standins::vm_list list(std::chrono::milliseconds{(*options)["lag-ms"].as<int>()});
    return standins::serve(context, *options,
                           [&](const http_request& request, const std::shared_ptr<http_exchange>& exchange)
                           {
                               const std::scoped_lock lock(mutex);
                               exchange->respond(answer(list, request));
                           });
}

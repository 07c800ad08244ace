#include "known_processes.hpp"

#include "masticcourse/daemon/vm_list.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticcourse
{

namespace
{

constexpr int status_ok = 200;

} // namespace

std::vector<known_process> processes_of(const deployment_settings& settings)
{
    std::vector<known_process> processes;
    std::ranges::transform(settings.entries, std::back_inserter(processes),
                           [](const entry_settings& it)
                           {
                               return known_process{.role = process_role::entry,
                                                    .name = it.name,
                                                    .address = it.peer_address,
                                                    .failure_domain = it.failure_domain};
                           });
    std::ranges::transform(settings.targets, std::back_inserter(processes),
                           [](const target_settings& it)
                           {
                               return known_process{.role = process_role::target,
                                                    .name = it.name,
                                                    .address = it.peer_address,
                                                    .service = it.service,
                                                    .failure_domain = it.failure_domain};
                           });
    return processes;
}

void fetch_vm_list(http_client& client, const platform_settings& platform,
                   std::function<void(std::vector<known_process>)> on_list)
{
    client.send({.address = platform.vm_list_address, .target = "/vms", .timeout = platform.store_timeout},
                [on_list = std::move(on_list)](const http_client_reply& reply)
                {
                    const bool good = reply.failure == http_failure::none && reply.status == status_ok;
                    if (auto list = good ? parse_vm_list(reply.body) : std::nullopt)
                    {
                        on_list(std::move(*list));
                    }
                });
}

} // namespace masticcourse

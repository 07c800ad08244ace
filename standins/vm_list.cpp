#include "vm_list.hpp"

#include "routes.hpp"

namespace masticcourse::standins
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_method_not_allowed = 405;
constexpr int status_not_found = 404;

} // namespace

vm_list::vm_list(std::chrono::milliseconds lag) : m_lag(lag) {}

std::string vm_list::visible_list()
{
    const auto cutoff = std::chrono::steady_clock::now() - m_lag;
    while (m_versions.size() > 1 && m_versions[1].published_at <= cutoff)
    {
        m_versions.pop_front();
    }
    // The first list is visible immediately: a platform has a list from its start.
    return m_versions.empty() ? "[]" : m_versions.front().list;
}

void vm_list::handle(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    if (request.target != "/vms")
    {
        exchange->respond(json_error(status_not_found, "there is only /vms"));
    }
    else if (request.method == "GET")
    {
        exchange->respond(json_response(status_ok, visible_list()));
    }
    else if (request.method == "PUT")
    {
        m_versions.push_back({std::chrono::steady_clock::now(), request.body});
        exchange->respond(json_response(status_ok, "{}"));
    }
    else
    {
        exchange->respond(json_error(status_method_not_allowed, "GET or PUT"));
    }
}

} // namespace masticcourse::standins

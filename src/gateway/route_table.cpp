#include "masticcourse/gateway/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>
#include <xxhash.h>

namespace masticcourse::gateway
{

namespace
{

bool same_host(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const route* gateway_config::find_route(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const auto& it : routes)
    {
        const bool fits = same_host(it.host, without_port(host)) && path.starts_with(it.prefix);
        if (fits && (best == nullptr || it.prefix.size() > best->prefix.size()))
        {
            best = &it;
        }
    }
    return best;
}

const routed_service* gateway_config::find_service(const service_name& name) const
{
    const auto it = std::ranges::find(services, name, &routed_service::name);
    return it != services.end() ? &*it : nullptr;
}

bool config_holder::adopt(gateway_config config)
{
    if (m_current && config.version <= m_current->version)
    {
        return false;
    }
    m_current = std::make_shared<const gateway_config>(std::move(config));
    return true;
}

const service_name& choose_service(const route& route, std::string_view key)
{
    const auto total = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t{0},
                                       [](auto sum, const auto& it) { return sum + it.weight; });
    auto point = total > 0 ? XXH3_64bits(key.data(), key.size()) % total : 0;
    const auto holds_point = [&point](const service_share& it)
    {
        const bool here = point < it.weight;
        point -= here ? 0 : it.weight;
        return here;
    };
    const auto it = std::ranges::find_if(route.services, holds_point);
    return it != route.services.end() ? it->service : route.services.front().service;
}

} // namespace masticcourse::gateway

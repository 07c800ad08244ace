#include "masticcourse/settings/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace masticcourse
{

namespace
{

bool is_ip(const std::string& text, int family)
{
    in6_addr buf{};
    return inet_pton(family, text.c_str(), &buf) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc{} || end != text.data() + text.size() || port == 0)
    {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<ip_endpoint> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    std::string host{text.substr(0, colon)};
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    if (!port || !is_ip(host, bracketed ? AF_INET6 : AF_INET))
    {
        return std::nullopt;
    }
    return ip_endpoint{host, *port};
}

} // namespace masticcourse

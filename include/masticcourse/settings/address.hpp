/// @file
/// Parses addresses that consist of an IP address and a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// An IP address and a port.
struct ip_endpoint
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

/// @param text `127.0.0.1:80` or `[::1]:80`; host names are rejected
/// @return the endpoint, or nothing if @a text is not an IP address with a port from 1 to 65535
[[nodiscard]] std::optional<ip_endpoint> parse_address(std::string_view text);

} // namespace masticcourse

/// @file
/// Addresses as settings spell them: an IP number and a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticcourse
{

/// A host and port as settings give them.
struct ip_endpoint
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};

/// @param text `127.0.0.1:80` or `[::1]:80`; names of hosts are refused
/// @return the parts, or nothing if @a text is no address with a port from 1 to 65535
[[nodiscard]] std::optional<ip_endpoint> parse_address(std::string_view text);

} // namespace masticcourse

#include "endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <sstream>
#include <stdexcept>

namespace masticcourse::detail
{

namespace
{

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc{} && it == end ? std::optional{port} : std::nullopt;
}

std::string_view strip_brackets(std::string_view host)
{
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(strip_brackets(address.substr(0, colon)), ec);
    const auto port = parse_port(address.substr(colon + 1));
    if (ec || !port)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{host, *port};
}

std::string to_string(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

boost::asio::ip::tcp::acceptor listen_on(const boost::asio::any_io_executor& executor,
                                         const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        throw std::runtime_error("not an address of the form ip:port: \"" + address + "\"");
    }
    try
    {
        return {executor, *endpoint, true};
    }
    catch (const boost::system::system_error& error)
    {
        throw std::runtime_error("can't listen on " + address + ": " + error.code().message());
    }
}

} // namespace masticcourse::detail

/// @file
/// A blocking TCP server on loopback that answers each request with given bytes and ends the connection in a
/// given way, for responses that the HTTP server does not send.
#pragma once

#include "net_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace masticcourse::testing
{

/// What a scripted server does with the connection after its response.
enum class connection_end : std::uint8_t
{
    /// Waits for the next request.
    keep,
    /// Orderly close.
    close,
    reset,
};

struct scripted_response
{
    std::string bytes;
    connection_end end = connection_end::close;
};

/// Sends one response per request, in order. A connection kept after the last response stays open until the
/// client closes it.
class scripted_server
{
  public:
    explicit scripted_server(std::vector<scripted_response> responses)
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_thread([this, responses = std::move(responses)] { serve(responses); })
    {
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    /// Does not wait for requests that were never sent.
    ~scripted_server()
    {
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket wake_up{m_context};
        wake_up.connect(m_acceptor.local_endpoint(), ignored);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// @return the request @a index, header and body, waiting until it has been received
    [[nodiscard]] std::string request(std::size_t index)
    {
        REQUIRE(m_requests.wait([=](const auto& all) { return all.size() > index; }));
        return m_requests.get().at(index);
    }

  private:
    void serve(const std::vector<scripted_response>& responses)
    {
        boost::asio::ip::tcp::socket socket{m_context};
        for (const auto& it : responses)
        {
            if (!socket.is_open())
            {
                m_acceptor.accept(socket);
            }
            auto request = read_request(socket);
            if (!request)
            {
                return;
            }
            m_requests.update([&](auto& all) { all.push_back(std::move(*request)); });
            boost::system::error_code ignored;
            boost::asio::write(socket, boost::asio::buffer(it.bytes), ignored);
            if (it.end == connection_end::reset)
            {
                socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            }
            if (it.end != connection_end::keep)
            {
                socket.close(ignored);
            }
        }
        wait_for_close(socket);
    }

    static void wait_for_close(boost::asio::ip::tcp::socket& socket)
    {
        std::string ignored_text;
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(ignored_text), ignored);
    }

    /// Reads a request whose body has a stated length.
    /// @return header and body; nothing if the connection ended before
    static std::optional<std::string> read_request(boost::asio::ip::tcp::socket& socket)
    {
        static constexpr std::string_view length_header = "Content-Length: ";
        std::string text;
        boost::system::error_code ec;
        const auto head = boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
        if (ec)
        {
            return std::nullopt;
        }
        const auto length = text.find(length_header);
        const std::size_t body = length < head ? std::stoul(text.substr(length + length_header.size())) : 0;
        const auto missing = head + body - text.size();
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), boost::asio::transfer_exactly(missing),
                          ec);
        return ec ? std::nullopt : std::optional{text};
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    synchronized_value<std::vector<std::string>> m_requests;
    std::jthread m_thread;
};

} // namespace masticcourse::testing

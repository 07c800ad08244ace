// How the HTTP client tells complete responses from broken-off ones, by the framing of the body and the end
// of the connection.
#include "masticcourse/net/http_client.hpp"

#include "net_fixture.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

struct body_end_case
{
    const char* name;
    /// Header fields that frame the body, and the part of the body that is sent.
    const char* sent;
    connection_end end;
    http_failure failure;
    body_framing framing;
    std::uint64_t bytes;
};

constexpr std::array body_end_cases{
    body_end_case{"length, whole", "Content-Length: 6\r\n\r\nabcdef", connection_end::close,
                  http_failure::none, body_framing::length, 6},
    body_end_case{"length, whole, then reset", "Content-Length: 6\r\n\r\nabcdef", connection_end::reset,
                  http_failure::none, body_framing::length, 6},
    body_end_case{"length, closed early", "Content-Length: 6\r\n\r\nabc", connection_end::close,
                  http_failure::broken, body_framing::length, 3},
    body_end_case{"length, reset", "Content-Length: 6\r\n\r\nabc", connection_end::reset,
                  http_failure::broken, body_framing::length, 3},
    body_end_case{"chunks, whole", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                  connection_end::close, http_failure::none, body_framing::chunked, 3},
    body_end_case{"chunks, closed between two", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                  connection_end::close, http_failure::broken, body_framing::chunked, 3},
    body_end_case{"chunks, closed inside one", "Transfer-Encoding: chunked\r\n\r\n6\r\nabc",
                  connection_end::close, http_failure::broken, body_framing::chunked, 3},
    body_end_case{"chunks, closed in the last one", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
                  connection_end::close, http_failure::broken, body_framing::chunked, 3},
    body_end_case{"chunks, reset", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", connection_end::reset,
                  http_failure::broken, body_framing::chunked, 3},
    body_end_case{"until close, closed", "\r\nabc", connection_end::close, http_failure::none,
                  body_framing::until_close, 3},
    body_end_case{"until close, closed, empty", "\r\n", connection_end::close, http_failure::none,
                  body_framing::until_close, 0},
    body_end_case{"until close, reset", "\r\nabc", connection_end::reset, http_failure::broken,
                  body_framing::until_close, 3},
    body_end_case{"until close, silent", "\r\nabc", connection_end::keep, http_failure::timeout,
                  body_framing::until_close, 3},
    body_end_case{"no body", "Content-Length: 0\r\n\r\n", connection_end::close, http_failure::none,
                  body_framing::none, 0},
    body_end_case{"closed inside the header", "Content-", connection_end::close, http_failure::broken,
                  body_framing::none, 0},
};

/// Time after which a server that has stopped sending is given up.
constexpr std::chrono::milliseconds silence_timeout{300};

/// Sends a request whose response is collected or streamed.
/// @return the reply; the body of a streamed response is put into it
http_client_reply exchange(http_client& client, http_client_request request, bool streamed)
{
    if (!streamed)
    {
        return fetch(client, std::move(request));
    }
    const auto body = std::make_shared<std::string>();
    const auto done = std::make_shared<std::promise<http_client_reply>>();
    auto reply = done->get_future();
    client.open_stream(
        std::move(request), [body](std::string_view chunk) { body->append(chunk); },
        [body, done](http_client_reply end)
        {
            end.body = *body;
            done->set_value(std::move(end));
        });
    return reply.get();
}

http_client_reply get(http_client& client, std::uint16_t port, bool streamed,
                      std::chrono::milliseconds timeout = test_timeout)
{
    return exchange(client, {.address = loopback(port), .timeout = timeout}, streamed);
}

} // namespace

TEST_CASE("http client: a response is complete only if its framing and the connection's end say so")
{
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const scripted_response earlier{status_line + "Content-Length: 2\r\n\r\nok", connection_end::keep};
    for (const auto& it : body_end_cases)
    {
        for (const bool streamed : {false, true})
        {
            for (const bool reused : {false, true})
            {
                CAPTURE(it.name);
                CAPTURE(streamed);
                CAPTURE(reused);
                std::vector<scripted_response> script{{status_line + it.sent, it.end}};
                if (reused)
                {
                    script.insert(script.begin(), earlier);
                }
                const scripted_server server{std::move(script)};
                io_threads threads;
                http_client client{threads.context()};
                if (reused)
                {
                    CHECK(get(client, server.port(), streamed).body == "ok");
                }
                const bool silent = it.failure == http_failure::timeout;
                const auto reply =
                    get(client, server.port(), streamed, silent ? silence_timeout : test_timeout);
                CHECK(reply.failure == it.failure);
                CHECK(reply.body_report.framing == it.framing);
                CHECK(reply.body_report.bytes == it.bytes);
                CHECK(reply.body.size() == it.bytes);
                CHECK(reply.body_report.error.empty() == (it.failure == http_failure::none));
                threads.stop();
            }
        }
    }
}

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// What a server does after it has responded to a long request, of which it has read the header only.
enum class upload_end : std::uint8_t
{
    /// Resets the connection.
    reset,
    /// Ends its direction, then reads the rest.
    shutdown,
};

/// Responds to one long request as soon as its header has come, by a body that ends with the connection.
class early_server
{
  public:
    explicit early_server(upload_end end)
        : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}), m_thread([this, end] { serve(end); })
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

  private:
    void serve(upload_end end)
    {
        // The system's smallest, so that the request can't be written whole.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(1));
        asio::ip::tcp::socket socket{m_context};
        m_acceptor.accept(socket);
        std::string text;
        boost::system::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
        asio::write(socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\nhel"}), ec);
        // The client has read the beginning and is blocked in writing.
        std::this_thread::sleep_for(100ms);
        if (end == upload_end::reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0), ec);
            socket.close(ec);
            return;
        }
        asio::write(socket, asio::buffer(std::string{"lo"}), ec);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        std::array<char, 4096> rest{};
        while (!ec)
        {
            socket.read_some(asio::buffer(rest), ec);
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::jthread m_thread;
};

/// A caller that sends a long body as fast as it is read, or a part each 5 ms.
class long_body final : public http_body_source
{
  public:
    long_body(asio::io_context& context, bool slow) : m_context(context), m_slow(slow) {}

    void read(http_body_callback on_part) override
    {
        constexpr int parts = 128;
        const bool last = ++m_count >= parts;
        http_body_part part{.data = std::string(std::size_t{64} * 1024, 'x'),
                            .progress = last ? body_progress::complete : body_progress::more};
        if (!m_slow)
        {
            on_part(std::move(part));
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_context, 5ms);
        timer->async_wait([timer, on_part, part = std::move(part)](boost::system::error_code) mutable
                          { on_part(std::move(part)); });
    }

  private:
    asio::io_context& m_context;
    bool m_slow;
    int m_count = 0;
};

/// How the client gets the request's body.
enum class upload_form : std::uint8_t
{
    whole,
    parts,
    chunks,
    slow_parts,
};

http_client_request make_upload(asio::io_context& context, std::uint16_t port, upload_form form)
{
    constexpr std::size_t size = std::size_t{8} * 1024 * 1024;
    http_client_request request{.address = loopback(port), .method = "POST", .timeout = test_timeout};
    if (form == upload_form::whole)
    {
        request.body = std::string(size, 'x');
        return request;
    }
    request.rest = std::make_shared<long_body>(context, form == upload_form::slow_parts);
    request.body_length = form == upload_form::chunks ? std::nullopt : std::optional<std::uint64_t>{size};
    return request;
}

} // namespace

// Guards against: the write that is under way gets the reset, the read after it an orderly end, and the
// caller gets a part of a response as the whole.
TEST_CASE("http client: a response that is reset while its request is written is not complete")
{
    for (const auto form :
         {upload_form::whole, upload_form::parts, upload_form::chunks, upload_form::slow_parts})
    {
        for (const bool streamed : {false, true})
        {
            CAPTURE(form);
            CAPTURE(streamed);
            const early_server server{upload_end::reset};
            io_threads threads;
            http_client client{threads.context()};
            const auto reply =
                exchange(client, make_upload(threads.context(), server.port(), form), streamed);
            CHECK(reply.failure == http_failure::broken);
            CHECK_FALSE(reply.body_report.error.empty());
            threads.stop();
        }
    }
}

TEST_CASE("http client: a response that its server ends in order before it has read the request is complete")
{
    for (const auto form :
         {upload_form::whole, upload_form::parts, upload_form::chunks, upload_form::slow_parts})
    {
        CAPTURE(form);
        const early_server server{upload_end::shutdown};
        io_threads threads;
        http_client client{threads.context()};
        const auto reply = exchange(client, make_upload(threads.context(), server.port(), form), true);
        CHECK(reply.failure == http_failure::none);
        CHECK(reply.body == "hello");
        threads.stop();
    }
}

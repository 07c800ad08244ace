// HTTP server and client against each other, and the server against raw input.
#include "masticcourse/net/event_loop.hpp"
#include "masticcourse/net/http_client.hpp"
#include "masticcourse/net/http_server.hpp"

#include "net_fixture.hpp"
#include "support/ending_target.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

constexpr std::size_t small_body = 1000;
constexpr std::size_t small_header = 1024;

http_limits small_limits()
{
    return {.max_body = small_body, .max_header = small_header};
}

/// A server with a configurable handler, and a client.
struct http_fixture
{
    explicit http_fixture(http_limits limits = {}, http_handler handler = echo)
        : server(threads.context(), "127.0.0.1:0", std::move(limits), std::move(handler)),
          client(threads.context())
    {
    }
    http_fixture(const http_fixture&) = delete;
    http_fixture(http_fixture&&) = delete;
    http_fixture& operator=(const http_fixture&) = delete;
    http_fixture& operator=(http_fixture&&) = delete;
    ~http_fixture()
    {
        threads.stop();
    }

    /// Responds with the method, target and body of the request.
    static void echo(const http_request& request, const std::shared_ptr<http_exchange>& exchange)
    {
        exchange->respond({.body = request.method + " " + request.target + " " + request.body,
                           .headers = {{"X-Seen", request.header("x-sent").value_or("")}}});
    }

    [[nodiscard]] std::string address() const
    {
        return loopback(server.port());
    }

    io_threads threads;
    http_server server;
    http_client client;
};

/// A handler that stores its exchanges, so that tests can respond to them later.
struct deferred_exchanges
{
    synchronized_value<std::vector<std::shared_ptr<http_exchange>>> received;

    [[nodiscard]] http_handler handler()
    {
        return [this](const http_request&, const std::shared_ptr<http_exchange>& exchange)
        { received.update([&](auto& all) { all.push_back(exchange); }); };
    }

    [[nodiscard]] std::shared_ptr<http_exchange> at(std::size_t index)
    {
        REQUIRE(received.wait([=](const auto& all) { return all.size() > index; }));
        return received.get().at(index);
    }
};

/// The data received from a stream, and its final reply.
struct stream_state
{
    std::string text;
    std::optional<http_client_reply> end;
};

struct stream_reader
{
    synchronized_value<stream_state> state;

    std::shared_ptr<http_stream> open(http_client& client, const std::string& address)
    {
        return client.open_stream(
            {.address = address},
            [this](std::string_view chunk) { state.update([&](auto& it) { it.text += chunk; }); },
            [this](const http_client_reply& reply) { state.update([&](auto& it) { it.end = reply; }); });
    }

    [[nodiscard]] bool wait_for_text(const std::string& text)
    {
        return state.wait([&](const auto& it) { return it.text == text; });
    }

    [[nodiscard]] http_client_reply wait_for_end()
    {
        REQUIRE(state.wait([](const auto& it) { return it.end.has_value(); }));
        return *state.get().end;
    }
};

/// Responds to each request except the second one: it reads that request and closes the connection.
class connection_dropping_server
{
  public:
    /// @param connections number of connections to accept before the server exits
    explicit connection_dropping_server(int connections)
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_thread([this, connections] { serve(connections); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return loopback(m_acceptor.local_endpoint().port());
    }

    /// Waits for all connections to end.
    /// @return the number of requests read
    [[nodiscard]] int requests()
    {
        m_thread.join();
        return m_requests;
    }

  private:
    void serve(int connections)
    {
        for (int it = 0; it < connections; ++it)
        {
            auto socket = m_acceptor.accept();
            while (respond_once(socket))
            {
            }
        }
    }

    bool respond_once(boost::asio::ip::tcp::socket& socket)
    {
        std::string request;
        boost::system::error_code ec;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
        if (ec || ++m_requests == 2)
        {
            return false;
        }
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(text), ec);
        return !ec;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_requests = 0;
    std::jthread m_thread;
};

} // namespace

TEST_CASE("http: requests and responses")
{
    http_fixture it;
    SUBCASE("method, target, body and headers reach the handler")
    {
        const auto reply = fetch(it.client, {.address = it.address(),
                                             .method = "PUT",
                                             .target = "/a%20b?c=d",
                                             .body = "text",
                                             .headers = {{"X-Sent", "value"}}});
        CHECK(reply.failure == http_failure::none);
        CHECK(reply.status == 200);
        CHECK(reply.body == "PUT /a%20b?c=d text");
        CHECK(reply.header("x-SEEN") == "value");
        CHECK(reply.header("Content-Type") == "application/json");
    }
    SUBCASE("a large body is received completely")
    {
        const std::string large(3'000'000, 'x');
        const auto reply =
            fetch(it.client, {.address = it.address(), .method = "POST", .target = "/", .body = large});
        CHECK(reply.body == "POST / " + large);
    }
    SUBCASE("HEAD has no body")
    {
        const auto reply = fetch(it.client, {.address = it.address(), .method = "HEAD"});
        CHECK(reply.status == 200);
        CHECK(reply.body.empty());
    }
    SUBCASE("concurrent requests each receive their own response")
    {
        constexpr int count = 400;
        synchronized_value<int> correct;
        for (int n = 0; n < count; ++n)
        {
            const auto text = std::to_string(n);
            it.client.send(
                {.address = it.address(), .method = "POST", .target = "/", .body = text},
                [&correct, text](const http_client_reply& reply)
                { correct.update([&](int& sum) { sum += reply.body == "POST / " + text ? 1 : 0; }); });
        }
        CHECK(correct.wait([](int sum) { return sum == count; }));
        CHECK(eventually([&] { return it.server.open_exchanges() == 0; }));
    }
}

TEST_CASE("http: one connection carries several requests, including pipelined ones")
{
    http_fixture it;
    raw_socket socket(it.server.port());
    socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(socket.read_until_text("GET /1 ").starts_with("HTTP/1.1 200 OK"));
    CHECK(socket.read_until_text("GET /2 ").starts_with("HTTP/1.1 200 OK"));
    socket.write("GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(socket.read_all().ends_with("GET /3 "));
}

TEST_CASE("http: invalid requests get a problem response and the connection is closed")
{
    struct row
    {
        const char* description;
        std::string bytes;
        const char* status;
    };
    const std::array table{
        row{"body over the limit",
            "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" + std::string(small_body + 1, 'x'), "413"},
        row{"chunked body over the limit",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                std::string(small_body + 1, 'x') + "\r\n0\r\n\r\n",
            "413"},
        row{"header over the limit", "GET / HTTP/1.1\r\nX: " + std::string(small_header, 'x') + "\r\n\r\n",
            "431"},
        row{"no method line", "this is no request\r\n\r\n", "400"},
        row{"bad version", "GET / HTTP/9.9\r\n\r\n", "400"},
        row{"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "400"},
    };
    http_fixture it(small_limits());
    for (const auto& row : table)
    {
        CAPTURE(row.description);
        raw_socket socket(it.server.port());
        socket.write(row.bytes);
        const auto answer = socket.read_all();
        CHECK(answer.starts_with(std::string("HTTP/1.1 ") + row.status));
        CHECK(answer.find("application/problem+json") != std::string::npos);
        CHECK(answer.find(R"("ran":"no")") != std::string::npos);
    }
    CHECK(fetch(it.client, {.address = it.address()}).status == 200);
}

TEST_CASE("http: a body at the limit is accepted, and Expect: 100-continue is honoured")
{
    http_fixture it(small_limits());
    raw_socket socket(it.server.port());
    socket.write("POST / HTTP/1.1\r\nContent-Length: 1000\r\nExpect: 100-continue\r\n\r\n");
    CHECK(socket.read_until_text("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    const std::string body(small_body, 'x');
    socket.write(body);
    CHECK(socket.read_until_text("POST / " + body).starts_with("HTTP/1.1 200 OK"));
}

TEST_CASE("http: an incomplete request times out with a 408 response")
{
    const std::array partial_requests{"GET / HT", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    for (const auto* partial : partial_requests)
    {
        CAPTURE(partial);
        http_fixture it({.read_timeout = std::chrono::milliseconds{20}});
        raw_socket socket(it.server.port());
        socket.write(partial);
        const auto answer = socket.read_all();
        CHECK(answer.starts_with("HTTP/1.1 408"));
        CHECK(answer.find(R"("ran":"no")") != std::string::npos);
    }
}

TEST_CASE("http: an idle connection is closed")
{
    http_fixture it({.idle_timeout = std::chrono::milliseconds{20}});
    raw_socket socket(it.server.port());
    CHECK(socket.read_all().empty());
}

TEST_CASE("http: connections over the limit get a 503 response")
{
    http_fixture it({.max_connections = 1});
    raw_socket first(it.server.port());
    // The request that has begun keeps the first connection from being idle.
    first.write("GET / HTTP/1.1\r\n");
    REQUIRE(eventually([&] { return it.server.open_exchanges() == 1; }));
    raw_socket second(it.server.port());
    CHECK(second.read_until_text("}").starts_with("HTTP/1.1 503"));
    first.write("\r\n");
    CHECK(first.read_until_text("GET / ").starts_with("HTTP/1.1 200"));
}

TEST_CASE("http: for a connection over the limit the one that has been idle longest is closed")
{
    http_fixture it({.max_connections = 2});
    const auto serve_once = [&it](raw_socket& socket)
    {
        socket.write("GET / HTTP/1.1\r\n\r\n");
        const bool served = socket.read_until_text("GET / ").starts_with("HTTP/1.1 200");
        // Only then is the connection idle.
        return served && eventually([&it] { return it.server.open_exchanges() == 0; });
    };
    raw_socket first(it.server.port());
    CHECK(serve_once(first));
    raw_socket second(it.server.port());
    CHECK(serve_once(second));
    raw_socket third(it.server.port());
    CHECK(serve_once(third));
    CHECK(first.read_all().empty());
    CHECK(first.closed_in_order());
    CHECK(serve_once(second));
}

TEST_CASE("http: the number of connections is bounded, however many come and however long they stay")
{
    constexpr std::size_t max_connections = 4;
    http_fixture it({.max_connections = max_connections});
    std::vector<std::unique_ptr<raw_socket>> unfinished;
    for (std::size_t n = 0; n < 10 * max_connections; ++n)
    {
        unfinished.push_back(std::make_unique<raw_socket>(it.server.port()));
        unfinished.back()->write("GET / HTTP/1.1\r\n");
    }
    // Others are told that there is no room, or closed.
    const auto answer = unfinished.back()->read_all();
    CHECK((answer.empty() || answer.starts_with("HTTP/1.1 503")));
    CHECK(it.server.open_exchanges() == max_connections);
}

TEST_CASE("http: a request that does not become whole gives way to a further connection")
{
    http_fixture it({.max_connections = 1});
    raw_socket unfinished(it.server.port());
    unfinished.write("GET / HTTP/1.1\r\n");
    REQUIRE(eventually([&] { return it.server.open_exchanges() == 1; }));
    bool served = false;
    const auto is_served = [&]
    {
        raw_socket further(it.server.port());
        further.write("GET / HTTP/1.1\r\n\r\n");
        served = served || further.read_until_text("GET / ").starts_with("HTTP/1.1 200");
        return served;
    };
    CHECK(eventually(is_served));
    CHECK(unfinished.read_all().starts_with("HTTP/1.1 503"));
}

// Guards against a request that is passed on although its connection has just been closed for being idle.
TEST_CASE("http: each request that reaches the handler is answered, however long its connection was idle")
{
    constexpr std::chrono::milliseconds idle_timeout{300};
    constexpr int rounds = 4;
    constexpr std::size_t connections = 40;
    constexpr int busy_handlers = 15;
    event_loop loop;
    std::atomic<std::size_t> handled = 0;
    http_server server(loop.traffic_executor(), "127.0.0.1:0", {.idle_timeout = idle_timeout},
                       [&handled](const http_request&, const std::shared_ptr<http_exchange>& exchange)
                       {
                           ++handled;
                           exchange->respond({.body = "done"});
                       });
    // Handlers wait for each other, so that a timer and a request may become ready before either has run.
    std::function<void()> keep_busy = [&]
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
        boost::asio::post(loop.traffic_executor(), [&] { keep_busy(); });
    };
    for (int n = 0; n < busy_handlers; ++n)
    {
        boost::asio::post(loop.traffic_executor(), [&] { keep_busy(); });
    }
    std::jthread thread([&loop] { loop.run(); });
    std::size_t answered = 0;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::unique_ptr<raw_socket>> sockets;
        for (std::size_t n = 0; n < connections; ++n)
        {
            sockets.push_back(std::make_unique<raw_socket>(server.port()));
            sockets.back()->write("GET / HTTP/1.1\r\n\r\n");
        }
        const auto is_answered = [](const auto& it) { return it->read_until_text("done").ends_with("done"); };
        answered += static_cast<std::size_t>(std::ranges::count_if(sockets, is_answered));
        // They became idle one after another, so that some of these requests come as their connection closes.
        std::this_thread::sleep_for(idle_timeout / 2);
        for (const auto& it : sockets)
        {
            it->write("GET / HTTP/1.1\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        answered += static_cast<std::size_t>(std::ranges::count_if(sockets, is_answered));
    }
    CHECK(answered == handled);
    loop.stop();
}

TEST_CASE("http: a handler that throws leaves the outcome unknown")
{
    http_fixture it({}, [](const http_request&, const std::shared_ptr<http_exchange>&)
                    { throw std::runtime_error("fault"); });
    const auto reply = fetch(it.client, {.address = it.address(), .method = "POST"});
    CHECK(reply.status == 500);
    CHECK(reply.body.find(R"("ran":"unknown")") != std::string::npos);
}

TEST_CASE("http: an exchange destroyed without a response closes the connection")
{
    http_fixture it({}, [](const http_request&, const std::shared_ptr<http_exchange>&) {});
    CHECK(fetch(it.client, {.address = it.address(), .method = "POST"}).failure == http_failure::broken);
}

TEST_CASE("http: streams")
{
    deferred_exchanges exchanges;
    http_fixture it({}, exchanges.handler());
    stream_reader reader;
    const auto stream = reader.open(it.client, it.address());
    auto exchange = exchanges.at(0);
    exchange->begin_stream(200, {{"X-Kind", "tokens"}});
    exchange->write("one ");
    REQUIRE(reader.wait_for_text("one "));

    SUBCASE("parts are delivered as they are written, then the end")
    {
        exchange->write("two ");
        exchange->write("three");
        exchange->end_stream();
        const auto end = reader.wait_for_end();
        CHECK(end.failure == http_failure::none);
        CHECK(end.header("x-kind") == "tokens");
        CHECK(end.header("content-type") == "text/event-stream");
        CHECK(reader.state.get().text == "one two three");
    }
    SUBCASE("cancelling notifies the server and ends the stream at the client")
    {
        synchronized_value<bool> closed;
        exchange->on_closed([&] { closed.update([](bool& value) { value = true; }); });
        stream->cancel();
        CHECK(reader.wait_for_end().failure == http_failure::broken);
        CHECK(closed.wait([](bool value) { return value; }));
    }
    SUBCASE("a callback set after the caller disconnected is called too")
    {
        stream->cancel();
        CHECK(reader.wait_for_end().failure == http_failure::broken);
        synchronized_value<bool> closed;
        exchange->on_closed([&] { closed.update([](bool& value) { value = true; }); });
        CHECK(closed.wait([](bool value) { return value; }));
    }
    SUBCASE("a truncated stream is reported as broken")
    {
        exchanges.received.update([](auto& all) { all.clear(); });
        exchange.reset();
        CHECK(reader.wait_for_end().failure == http_failure::broken);
    }
    SUBCASE("a reader that is too slow is disconnected")
    {
        // Nothing reads from this connection, so the server's backlog must overflow.
        raw_socket non_reading(it.server.port());
        non_reading.write("GET / HTTP/1.1\r\n\r\n");
        const auto second = exchanges.at(1);
        synchronized_value<bool> closed;
        second->on_closed([&] { closed.update([](bool& value) { value = true; }); });
        second->begin_stream(200, {});
        for (int n = 0; n < 40; ++n)
        {
            second->write(std::string(1'000'000, 'x'));
        }
        CHECK(closed.wait([](bool value) { return value; }));
    }
}

TEST_CASE("http: an error response to a stream request is returned as a whole in the reply")
{
    http_fixture it({}, [](const http_request&, const std::shared_ptr<http_exchange>& exchange)
                    { exchange->respond({.status = 503, .body = "refused"}); });
    stream_reader reader;
    reader.open(it.client, it.address());
    const auto end = reader.wait_for_end();
    CHECK(end.status == 503);
    CHECK(end.body == "refused");
    CHECK(reader.state.get().text.empty());
}

TEST_CASE("http: stopping completes the requests in progress")
{
    deferred_exchanges exchanges;
    http_fixture it({.stop_grace = std::chrono::milliseconds{1}}, exchanges.handler());
    raw_socket idle(it.server.port());
    synchronized_value<std::optional<http_client_reply>> reply;
    it.client.send({.address = it.address(), .method = "POST"}, [&](const http_client_reply& result)
                   { reply.update([&](auto& value) { value = result; }); });
    const auto exchange = exchanges.at(0);
    CHECK(it.server.open_exchanges() == 1);
    it.server.stop_accepting();
    CHECK(idle.read_all().empty());
    exchange->respond({.body = "done"});
    REQUIRE(reply.wait([](const auto& value) { return value.has_value(); }));
    CHECK(reply.get()->body == "done");
    CHECK(reply.get()->header("connection") == "close");
    CHECK(eventually([&] { return it.server.open_exchanges() == 0; }));
    CHECK(fetch(it.client, {.address = it.address()}).failure == http_failure::connect);
}

TEST_CASE("http: the error for an address that cannot be bound names the address")
{
    io_threads threads;
    const http_server first(threads.context(), "127.0.0.1:0", {}, http_fixture::echo);
    for (const auto& address : {loopback(first.port()), std::string("nowhere"), std::string("127.0.0.1:x")})
    {
        CAPTURE(address);
        CHECK_THROWS_WITH_AS(http_server(threads.context(), address, {}, http_fixture::echo),
                             doctest::Contains(address.c_str()), std::runtime_error);
    }
    threads.stop();
}

TEST_CASE("http client: failures distinguish connect errors from time-outs")
{
    SUBCASE("nothing listens on the address")
    {
        io_threads threads;
        http_client client(threads.context());
        CHECK(fetch(client, {.address = "127.0.0.1:1"}).failure == http_failure::connect);
        CHECK(fetch(client, {.address = "no address"}).failure == http_failure::connect);
    }
    SUBCASE("no response in time")
    {
        deferred_exchanges exchanges;
        http_fixture it({}, exchanges.handler());
        const auto reply =
            fetch(it.client, {.address = it.address(), .timeout = std::chrono::milliseconds{30}});
        CHECK(reply.failure == http_failure::timeout);
    }
}

TEST_CASE("http client: only idempotent requests are resent on a new connection")
{
    struct row
    {
        const char* method;
        http_failure failure;
        int requests;
    };
    const std::array table{row{"POST", http_failure::broken, 2}, row{"PUT", http_failure::broken, 2},
                           row{"GET", http_failure::none, 3}};
    for (const auto& it : table)
    {
        CAPTURE(it.method);
        connection_dropping_server server(it.requests - 1);
        {
            io_threads threads;
            http_client client(threads.context());
            CHECK(fetch(client, {.address = server.address()}).status == 200);
            CHECK(fetch(client, {.address = server.address(), .method = it.method}).failure == it.failure);
            threads.stop();
        }
        CHECK(server.requests() == it.requests);
    }
}

// Guards against: a server ends after it has read a request, the repeat on a new connection is refused, and
// the request is reported as never sent.
TEST_CASE("http client: a request whose repeat finds no connection counts as sent")
{
    struct row
    {
        std::optional<bool> may_resend;
        bool reconnect_failed;
    };
    for (const auto& it : {row{true, true}, row{false, false}, row{std::nullopt, false}})
    {
        CAPTURE(it.may_resend.value_or(false));
        io_threads server_threads{1};
        end_record ends;
        ending_target server(server_threads.context(), "s", false, ends);
        io_threads threads;
        http_client client(threads.context());
        CHECK(fetch(client, {.address = server.address(), .target = "/a/"}).status == 200);
        const auto reply = fetch(
            client,
            {.address = server.address(), .method = "POST", .target = "/end/", .may_resend = it.may_resend});
        CHECK(ends.size() == 1);
        CHECK(reply.failure == http_failure::broken);
        CHECK(reply.send_report.sends == 1);
        CHECK(reply.send_report.kept_connection);
        CHECK(reply.send_report.reconnect_failed == it.reconnect_failed);
        threads.stop();
        server_threads.stop();
    }
}

TEST_CASE(
    "http client: a check tells a server that listens from one that has ended and from one that closes its "
    "connections")
{
    io_threads server_threads{1};
    end_record ends;
    ending_target server(server_threads.context(), "s", false, ends);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor closing{context, {boost::asio::ip::address_v4::loopback(), 0}};
    constexpr int tries = 2;
    std::jthread closing_server{[&]
                                {
                                    for (int n = 0; n < tries; ++n)
                                    {
                                        closing.accept().close();
                                    }
                                }};
    io_threads threads;
    http_client client(threads.context());
    const auto check = [&](const std::string& address)
    {
        synchronized_value<std::optional<server_state>> found;
        client.check_server(address,
                            {.connect_timeout = std::chrono::milliseconds{5'000},
                             .settle_time = std::chrono::milliseconds{20},
                             .max_tries = tries},
                            [&](server_state state) { found.update([&](auto& it) { it = state; }); });
        REQUIRE(found.wait([](const auto& it) { return it.has_value(); }));
        return *found.get();
    };
    CHECK(check(server.address()) == server_state::listening);
    // The connection of the check is kept for the next request.
    const auto reply = fetch(client, {.address = server.address(), .method = "POST", .target = "/end/"});
    CHECK(reply.send_report.sends == 1);
    CHECK(check(server.address()) == server_state::ended);
    CHECK(check(loopback(closing.local_endpoint().port())) == server_state::unknown);
    CHECK(check("no address") == server_state::unknown);
    threads.stop();
    server_threads.stop();
}

TEST_CASE("http: a request with an ambiguous body length is rejected and the bytes after it are not parsed")
{
    http_fixture fixture;
    for (const auto* encoding : {"identity", "gzip", "chunked, identity", "xchunked", "gzip, chunked"})
    {
        CAPTURE(encoding);
        raw_socket raw{fixture.server.port()};
        raw.write(std::string{"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "} + encoding +
                  "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto text = raw.read_all();
        CHECK(text.starts_with("HTTP/1.1 400"));
        CHECK(text.find("smuggled") == std::string::npos);
    }
}

TEST_CASE("http client: responses that belong to other requests are discarded")
{
    io_threads threads;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::jthread server{[&]
                        {
                            auto socket = acceptor.accept();
                            std::string request;
                            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
                            const std::string answers =
                                "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
                                "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown";
                            boost::asio::write(socket, boost::asio::buffer(answers));
                        }};
    http_client client{threads.context()};
    const auto reply = fetch(client, {.address = loopback(acceptor.local_endpoint().port()),
                                      .is_matching_response = [](const http_client_reply& it)
                                      { return it.header("Id") == "own"; }});
    CHECK(reply.failure == http_failure::none);
    CHECK(reply.body == "own");
    threads.stop();
}

TEST_CASE("http: after announce_close, new connections are accepted and closed after their first response")
{
    http_fixture fixture;
    fixture.server.announce_close();
    for (int n = 0; n < 2; ++n)
    {
        raw_socket raw{fixture.server.port()};
        raw.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto text = raw.read_all();
        CHECK(text.starts_with("HTTP/1.1 200"));
        CHECK(text.find("Connection: close") != std::string::npos);
    }
}

// Guards against: an HTTP/1.0 caller, whose streams end with the connection, takes a broken-off one for a
// whole one.
TEST_CASE("http: a stream without chunks ends with an orderly close only if it is whole, else with a reset")
{
    enum class ending : std::uint8_t
    {
        whole,
        dropped,
        server_gone,
    };
    for (const auto end : {ending::whole, ending::dropped, ending::server_gone})
    {
        CAPTURE(end);
        deferred_exchanges exchanges;
        auto it = std::make_unique<http_fixture>(http_limits{}, exchanges.handler());
        raw_socket caller{it->server.port()};
        caller.write("GET / HTTP/1.0\r\n\r\n");
        auto exchange = exchanges.at(0);
        exchange->begin_stream(200, {});
        exchange->write("id: 1\ndata: one\n\n");
        const auto text = caller.read_until_text("one\n\n");
        CHECK(text.find("Transfer-Encoding") == std::string::npos);
        CHECK(text.find("Content-Length") == std::string::npos);
        if (end == ending::whole)
        {
            exchange->end_stream();
        }
        exchanges.received.update([](auto& all) { all.clear(); });
        if (end == ending::server_gone)
        {
            it.reset();
        }
        exchange.reset();
        CHECK(caller.read_all().empty());
        CHECK(caller.closed_in_order() == (end == ending::whole));
    }
}

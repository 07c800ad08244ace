// Responses of targets that never end, in the head or in the body, until the gateway closes the connection.
#include "gateway_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

namespace asio = boost::asio;

struct endless_response
{
    const char* name;
    /// Sent once; `@` stands for the id of the request.
    std::string head;
    /// Sent again and again after it.
    std::string repeated;
    /// Pause between two of them.
    std::chrono::milliseconds pause{0};
};

const std::string common_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Masticcourse-Request-Id: @\r\nMasticcourse-Response-Signature: by-i-endless\r\n";
const std::string in_chunks = common_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string with_length = common_head + "Content-Length: 1000000000000\r\n\r\n";
const std::string until_close = common_head + "Connection: close\r\n\r\n";

std::string chunk_of(const std::string& body)
{
    std::array<char, 17> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size());
    return std::string{size.data()} + "\r\n" + body + "\r\n";
}

const std::string filler(std::size_t{64} * 1024, 'x');
const std::string event = "data: " + std::string(1'000, 'y') + "\n\n";

/// The header of a response to another request.
const std::string other_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                               "Masticcourse-Request-Id: another\r\n"
                               "Masticcourse-Response-Signature: by-i-endless\r\n";
/// That of a rejection without the id of a request.
const std::string rejection_head = "HTTP/1.1 503 Service Unavailable\r\nMasticcourse-Not-Executed: full\r\n";
/// That of a success without the signature.
const std::string unsigned_head = "HTTP/1.1 200 OK\r\nMasticcourse-Request-Id: @\r\n";
const std::string endless_length = "Content-Length: 1000000000000\r\n\r\n";

const std::vector<endless_response> responses{
    {"a status line", "HTTP/1.1 200 ", filler},
    {"a header line", common_head + "X-Filler: ", filler},
    {"header lines", common_head, "X-Filler: " + std::string(100, 'x') + "\r\n"},
    {"a body with a length", with_length, filler},
    {"a body in chunks", in_chunks, chunk_of(filler)},
    {"a chunk's extension", in_chunks + "10;", filler},
    {"trailers", in_chunks + "0\r\n", "X-Filler: " + std::string(100, 'x') + "\r\n"},
    {"a body until the connection closes", until_close, filler},
    {"events with a length", with_length, event},
    {"events in chunks", in_chunks, chunk_of(event)},
    {"events until the connection closes", until_close, event},
    {"an event", until_close + "data: ", filler},
    {"lines of an event", until_close, "data: y\n"},
    {"header lines, slowly", common_head, "X-Filler: x\r\n", 20ms},
    {"a body with a length, slowly", with_length, "x", 20ms},
    {"chunks, slowly", in_chunks, chunk_of("x"), 20ms},
    {"events, slowly", until_close, "data: y\n\n", 20ms},
    {"another request's body with a length", other_head + endless_length, filler},
    {"another request's body in chunks", other_head + "Transfer-Encoding: chunked\r\n\r\n", chunk_of(filler)},
    {"another request's body until the connection closes", other_head + "\r\n", filler},
    {"another request's body, slowly", other_head + endless_length, "x", 20ms},
    {"other requests' responses", "", other_head + "Content-Length: 2\r\n\r\nok"},
    {"a rejection's body", rejection_head + endless_length, filler},
    {"a body without the signature", unsigned_head + endless_length, filler},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
};

/// A target whose responses end only when its caller closes the connection.
class endless_target
{
  public:
    explicit endless_target(endless_response response)
        : m_response(std::move(response)), m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
          m_thread([this] { serve(); })
    {
    }
    endless_target(const endless_target&) = delete;
    endless_target(endless_target&&) = delete;
    endless_target& operator=(const endless_target&) = delete;
    endless_target& operator=(endless_target&&) = delete;
    ~endless_target()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        asio::ip::tcp::socket wake_up{m_context};
        wake_up.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    /// Whether all responses begun have been cut off by the caller.
    [[nodiscard]] bool idle() const
    {
        return m_open == 0;
    }
    [[nodiscard]] std::size_t sent() const
    {
        return m_sent;
    }

  private:
    void serve()
    {
        std::vector<std::jthread> connections;
        while (!m_stopping)
        {
            boost::system::error_code ec;
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
            m_acceptor.accept(*socket, ec);
            if (!ec && !m_stopping)
            {
                connections.emplace_back([this, socket] { respond(*socket); });
            }
        }
    }

    void respond(asio::ip::tcp::socket& socket)
    {
        const std::string id_header = "Masticcourse-Request-Id: ";
        std::string request;
        boost::system::error_code ec;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
        const auto id = request.find(id_header);
        if (ec || id == std::string::npos)
        {
            return;
        }
        const auto begin = id + id_header.size();
        auto head = m_response.head;
        if (const auto at = head.find('@'); at != std::string::npos)
        {
            head.replace(at, 1, request.substr(begin, request.find("\r\n", begin) - begin));
        }
        ++m_open;
        m_sent += asio::write(socket, asio::buffer(head), ec);
        while (!ec && !m_stopping)
        {
            m_sent += asio::write(socket, asio::buffer(m_response.repeated), ec);
            std::this_thread::sleep_for(m_response.pause);
        }
        --m_open;
    }

    endless_response m_response;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_open = 0;
    std::atomic<std::size_t> m_sent = 0;
    std::jthread m_thread;
};

/// @return the memory of this process, in bytes
std::size_t resident_memory()
{
    std::ifstream statm{"/proc/self/statm"};
    std::size_t size = 0;
    std::size_t resident = 0;
    statm >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Callers' deadline. Shorter than the route's timeout.
constexpr auto deadline = 1'500ms;

http_client_request make_request(const gateway_process& to, const std::string& path, const std::string& id)
{
    return {.address = to.callers,
            .method = "POST",
            .target = path,
            .body = "input",
            .headers = {{"Host", "h"},
                        {"Masticcourse-Request-Id", id},
                        {"Masticcourse-Program-Id", "p"},
                        {"Masticcourse-Token-Budget", "1000"},
                        {"Masticcourse-Token-Usage", "10,100"},
                        {"Masticcourse-Deadline-Ms", std::to_string(deadline.count())}},
            .timeout = 20s};
}

} // namespace

// Guards against a gateway that is killed for its memory, or whose requests hang, because a target's response
// has no end.
TEST_CASE("a response without end is cut off within the caller's time and a small part of the memory")
{
    // The smallest VM of a deployment has 88 MB.
    constexpr std::size_t process_memory = std::size_t{88} * 1'000'000;
    constexpr std::size_t concurrent = 4;
    for (const auto* const service : {"llm", "app"})
    {
        for (const auto& response : responses)
        {
            CAPTURE(service);
            CAPTURE(response.name);
            endless_target target{response};
            platform_fixture platform;
            const bool streams = service == std::string{"llm"};
            platform.store.remove("servers", streams ? "i-engine" : "i-app");
            platform.store.put("servers", "i-endless",
                               std::string{R"({"service":")"} + service + R"(","address":")" +
                                   loopback(target.port()) +
                                   R"(","zone":"here","version":"v1","slots":8,"state":"ready",)"
                                   R"("coldRemainingMs":0,"sequence":1})");
            gateway_process gateway{loopback(platform.store.port()), "only"};
            platform.wait_ready(gateway);

            const auto memory_before = resident_memory();
            const auto begun = std::chrono::steady_clock::now();
            std::atomic<std::size_t> ended = 0;
            for (std::size_t n = 0; n < concurrent; ++n)
            {
                platform.client.open_stream(
                    make_request(gateway, streams ? "/turn/1" : "/tool/1", "r" + std::to_string(n)),
                    [](std::string_view) {}, [&ended](const http_client_reply&) { ++ended; });
            }
            std::size_t memory = memory_before;
            while (ended < concurrent && std::chrono::steady_clock::now() - begun < 10s)
            {
                memory = std::max(memory, resident_memory());
                std::this_thread::sleep_for(1ms);
            }
            const auto took = std::chrono::steady_clock::now() - begun;
            CHECK(ended == concurrent);
            CHECK(took <= deadline + 500ms);
            CHECK(memory - memory_before <= process_memory / 2);
            CHECK(eventually([&] { return target.idle(); }));
            MESSAGE(std::string{response.name}, ": ",
                    std::chrono::duration_cast<std::chrono::milliseconds>(took).count(), " ms, ",
                    (memory - memory_before) / 1'000, " kB more memory, ", target.sent() / 1'000, " kB sent");
        }
    }
}

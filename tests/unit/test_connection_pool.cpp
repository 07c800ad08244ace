// Idle connections of the HTTP client: those that will not be used again don't stay open.
#include "../../src/net/http_connection.hpp"

#include "net_fixture.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// A server whose connections its clients have opened.
struct idle_server
{
    explicit idle_server(boost::asio::io_context& context)
        : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    [[nodiscard]] std::shared_ptr<detail::http_connection> connect(boost::asio::io_context& context)
    {
        auto connection = std::make_shared<detail::http_connection>(context.get_executor());
        connection->socket.connect(acceptor.local_endpoint());
        accepted.push_back(acceptor.accept());
        return connection;
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<boost::asio::ip::tcp::socket> accepted;
};

} // namespace

// Guards against: idle connections to targets that are gone stay open for good, since no request goes there
// any more, and after enough replaced targets the process has no descriptors left.
TEST_CASE("idle connections that their servers have closed don't accumulate over replaced servers")
{
    boost::asio::io_context context;
    detail::connection_pool pool{1ms};
    std::size_t most = 0;
    for (int n = 0; n < 50; ++n)
    {
        idle_server server{context};
        for (int k = 0; k < 4; ++k)
        {
            pool.release(loopback(server.acceptor.local_endpoint().port()), server.connect(context));
        }
        server.accepted.clear();
        std::this_thread::sleep_for(2ms);
        most = std::max(most, pool.size());
    }
    CHECK(most <= 8);
}

TEST_CASE("idle connections past their server's timeout are closed whatever address is asked for")
{
    boost::asio::io_context context;
    detail::connection_pool pool{1ms};
    idle_server first{context};
    idle_server second{context};
    const auto expiring = first.connect(context);
    expiring->idle_timeout = 1ms;
    pool.release("first", expiring);
    std::this_thread::sleep_for(5ms);
    pool.release("second", second.connect(context));
    CHECK(pool.size() == 1);
    CHECK(pool.acquire("second", 1h) != nullptr);
}

TEST_CASE("idle connections that are open are kept")
{
    boost::asio::io_context context;
    detail::connection_pool pool{1ms};
    idle_server server{context};
    for (int n = 0; n < 10; ++n)
    {
        pool.release(std::to_string(n), server.connect(context));
        std::this_thread::sleep_for(2ms);
    }
    CHECK(pool.size() == 10);
}

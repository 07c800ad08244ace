// Framed links between processes over loopback sockets.
#include "masticcourse/net/peer_link.hpp"

#include "net_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

constexpr std::chrono::milliseconds connect_timeout{30'000};

struct link_events
{
    std::vector<std::string> frames;
    std::vector<std::string> close_reasons;
    int open_count = 0;
};

/// One end of a link, recording its callbacks.
struct link_end
{
    synchronized_value<link_events> events;
    synchronized_value<std::shared_ptr<peer_link>> link;

    [[nodiscard]] peer_link_callbacks callbacks()
    {
        return {.on_frame = [this](const std::string& frame)
                { events.update([&](auto& it) { it.frames.push_back(frame); }); },
                .on_closed = [this](const std::string& reason)
                { events.update([&](auto& it) { it.close_reasons.push_back(reason); }); },
                .on_open = [this] { events.update([](auto& it) { ++it.open_count; }); }};
    }

    [[nodiscard]] bool wait_for_frames(const std::vector<std::string>& frames)
    {
        return events.wait([&](const auto& it) { return it.frames == frames; });
    }

    [[nodiscard]] std::string wait_for_close()
    {
        REQUIRE(events.wait([](const auto& it) { return !it.close_reasons.empty(); }));
        return events.get().close_reasons.front();
    }
};

/// A listener that starts and stores the accepted link.
struct link_fixture
{
    explicit link_fixture(peer_link_limits limits = {})
        : listener(
              threads.context(), "127.0.0.1:0",
              [this](const std::shared_ptr<peer_link>& link)
              {
                  link->start(server.callbacks());
                  server.link.update([&](auto& it) { it = link; });
              },
              limits)
    {
    }
    link_fixture(const link_fixture&) = delete;
    link_fixture(link_fixture&&) = delete;
    link_fixture& operator=(const link_fixture&) = delete;
    link_fixture& operator=(link_fixture&&) = delete;
    ~link_fixture()
    {
        threads.stop();
    }

    [[nodiscard]] std::shared_ptr<peer_link> connect(peer_link_limits limits = {})
    {
        return peer_link::connect(threads.context(), loopback(listener.port()), client.callbacks(),
                                  connect_timeout, limits);
    }

    [[nodiscard]] std::shared_ptr<peer_link> accepted_link()
    {
        REQUIRE(server.link.wait([](const auto& it) { return it != nullptr; }));
        return server.link.get();
    }

    link_end server;
    link_end client;
    io_threads threads;
    peer_listener listener;
};

} // namespace

TEST_CASE("peer_link: frames arrive complete and in order in both directions")
{
    link_fixture it;
    const auto link = it.connect();
    const std::vector<std::string> frames{"first", "", std::string(1'000'000, 'x'), std::string("\0\n", 2)};
    std::ranges::for_each(frames, [&](const auto& frame) { link->send(frame); });
    CHECK(it.server.wait_for_frames(frames));
    std::ranges::for_each(frames, [&](const auto& frame) { it.accepted_link()->send(frame); });
    CHECK(it.client.wait_for_frames(frames));
    CHECK(it.client.events.get().open_count == 1);
    CHECK(it.server.events.get().open_count == 1);
}

TEST_CASE("peer_link: several threads may send concurrently")
{
    constexpr std::size_t senders = 4;
    constexpr std::size_t frames_per_sender = 500;
    link_fixture it;
    const auto link = it.connect();
    std::vector<std::jthread> threads;
    for (std::size_t sender = 0; sender < senders; ++sender)
    {
        threads.emplace_back(
            [&link, sender]
            {
                for (std::size_t n = 0; n < frames_per_sender; ++n)
                {
                    link->send(std::to_string(sender) + std::to_string(n));
                }
            });
    }
    threads.clear();
    REQUIRE(it.server.events.wait([](const auto& events)
                                  { return events.frames.size() == senders * frames_per_sender; }));
    auto frames = it.server.events.get().frames;
    std::erase_if(frames, [](const auto& frame) { return frame.front() != '2'; });
    std::vector<std::string> expected;
    for (std::size_t n = 0; n < frames_per_sender; ++n)
    {
        expected.push_back("2" + std::to_string(n));
    }
    CHECK(frames == expected);
}

TEST_CASE("peer_link: partial and oversized frames")
{
    constexpr std::size_t limit = 100;
    link_fixture it({.max_frame = limit});
    raw_socket socket(it.listener.port());
    SUBCASE("a frame received in several parts is reassembled")
    {
        for (const char byte : std::string("\0\0\0\3abc", 7))
        {
            socket.write({byte});
        }
        CHECK(it.server.wait_for_frames({"abc"}));
    }
    SUBCASE("a truncated frame is never delivered")
    {
        socket.write(std::string("\0\0\0\3ab", 6));
        socket.close();
        CHECK(it.server.wait_for_close().find("middle of a frame") != std::string::npos);
        CHECK(it.server.events.get().frames.empty());
    }
    SUBCASE("a frame over the limit closes the link")
    {
        socket.write(std::string("\0\0\0\x65", 4));
        CHECK(it.server.wait_for_close().find("over the limit") != std::string::npos);
        CHECK(socket.read_all().empty());
    }
}

TEST_CASE("peer_link: send limits")
{
    link_fixture it;
    SUBCASE("sending a frame over the limit closes the link")
    {
        it.connect({.max_frame = 10})->send(std::string(11, 'x'));
        CHECK(it.client.wait_for_close().find("over the limit") != std::string::npos);
    }
    SUBCASE("a send queue over its limit closes the link")
    {
        // Nothing can leave the queue before the connection is established.
        const auto link = it.connect({.max_queued = 1000});
        const std::string frame(600, 'x');
        link->send(frame);
        link->send(frame + frame);
        CHECK(it.client.wait_for_close().find("queue") != std::string::npos);
    }
}

TEST_CASE("peer_link: closing")
{
    link_fixture it;
    const auto link = it.connect();
    link->send("hello");
    REQUIRE(it.server.wait_for_frames({"hello"}));
    SUBCASE("each end is notified once")
    {
        link->close();
        link->close();
        CHECK(it.client.wait_for_close().find("this end") != std::string::npos);
        CHECK_FALSE(it.server.wait_for_close().empty());
        link->send("late");
        CHECK(it.client.events.get().close_reasons.size() == 1);
    }
    SUBCASE("the accepting end can close")
    {
        CHECK(it.accepted_link()->remote_address().starts_with("127.0.0.1:"));
        it.accepted_link()->close();
        CHECK_FALSE(it.client.wait_for_close().empty());
    }
}

TEST_CASE("peer_link: a failed connection attempt is reported")
{
    for (const auto* address : {"127.0.0.1:1", "nowhere"})
    {
        link_end end;
        io_threads threads;
        const auto link = peer_link::connect(threads.context(), address, end.callbacks(), connect_timeout);
        link->send("waits");
        CHECK_FALSE(end.wait_for_close().empty());
        CHECK(end.events.get().open_count == 0);
        threads.stop();
    }
}

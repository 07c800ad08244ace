// How a gateway tells whole responses of targets from broken-off ones: by the framing of the body, by how the
// connection ended, and by the last event of a stream.
#include "gateway_fixture.hpp"
#include "scripted_server.hpp"
#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

/// A platform on which a scripted server is registered in place of the engine or of the plain service.
struct scripted_platform : platform_fixture
{
    /// @param service which the scripted server takes over: "llm" or "app"
    scripted_platform(std::uint16_t port, const std::string& service)
    {
        const std::string entry = R"({"service":")" + service + R"(","address":")" + loopback(port) +
                                  R"(","zone":"here","version":"v1","slots":4,"state":"ready",)"
                                  R"("coldRemainingMs":0,"sequence":1})";
        store.remove("servers", service == "llm" ? "i-engine" : "i-app");
        store.put("servers", "i-scripted", entry);
    }
};

/// A gateway whose engine or plain service is a scripted server. The gateway starts last, so that it never
/// reads the registry halfway through the change.
struct scripted_target_fixture
{
    /// @param service which the scripted server takes over: "llm" or "app"
    explicit scripted_target_fixture(std::vector<scripted_response> responses,
                                     const std::string& service = "llm")
        : target(std::move(responses)), platform(target.port(), service)
    {
        platform.wait_ready(gateway);
    }

    scripted_server target;
    scripted_platform platform;
    gateway_process gateway{loopback(platform.store.port()), "only"};
};

/// @return the header of a target's response to the request @a id, up to the framing of its body
std::string response_head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMasticcourse-Request-Id: " + id +
           "\r\nMasticcourse-Response-Signature: by-i-scripted\r\n";
}

constexpr const char* first_event = "id: 1\ndata: one\n\n";

/// What frames a body.
enum class framing : std::uint8_t
{
    until_close,
    length,
    chunks,
};

/// @return the rest of the header, and @a body framed as whole
std::string framed(framing kind, const std::string& body)
{
    switch (kind)
    {
    case framing::length:
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case framing::chunks:
    {
        std::ostringstream chunk;
        chunk << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
        return "Transfer-Encoding: chunked\r\n\r\n" + chunk.str();
    }
    case framing::until_close:
        break;
    }
    return "Connection: close\r\n\r\n" + body;
}

constexpr std::array unfinished_events{"id", "id: 2\nda", "id: 2\ndata: two", "id: 2\ndata: two\n"};

} // namespace

// Guards against: a target crashes in the middle of an event of a response without length or chunks, and the
// caller gets the cut event as the regular end of the stream.
TEST_CASE("a stream that its target ends inside an event does not reach the caller as complete")
{
    for (const auto kind : {framing::until_close, framing::length, framing::chunks})
    {
        for (const std::string unfinished : unfinished_events)
        {
            CAPTURE(kind);
            CAPTURE(unfinished);
            scripted_target_fixture world{
                {{response_head("a1") + framed(kind, first_event + unfinished), connection_end::close}}};
            const auto reply = world.platform.send(world.gateway, "/turn/1", "a1");
            if (reply.failure == http_failure::none)
            {
                // Nothing had been forwarded before the end, so the gateway can still report the failure.
                CHECK(reply.status == 502);
            }
            else
            {
                CHECK(reply.failure == http_failure::broken);
                CHECK(reply.body == first_event);
            }
            // The turn is not kept as if it were whole.
            CHECK(world.platform.send(world.gateway, "/turn/1", "a2", "a1").status == 404);
        }
    }
}

// Guards against: the same fault on each kind of streaming route, in a first attempt and in a resumed one.
TEST_CASE("a stream that ends inside an event counts as lost on every streaming route")
{
    for (const std::string route : {"stream", "turn", "plan"})
    {
        for (const std::string unfinished : unfinished_events)
        {
            CAPTURE(route);
            CAPTURE(unfinished);
            forwarding_fixture world;
            auto request = route == "turn" ? world.make_turn_request("r") : world.make_request(route, "r");
            const auto view = world.send(std::move(request));
            world.time.run(std::chrono::milliseconds{100});
            // Each target sends the next event whole and leaves the one after it unfinished.
            for (std::size_t n = 0; n < world.sent.size(); ++n)
            {
                const auto target = world.sent[n];
                target->begin(200);
                target->event(static_cast<int>(n + 1), "x");
                target->on_chunk(unfinished);
                target->end(200);
            }
            world.time.run(std::chrono::milliseconds{100});
            CHECK(world.sent.size() == (route == "plan" ? 2 : 1));
            CHECK(view->closed);
            CHECK_FALSE(view->ended);
            CHECK(view->text ==
                  (route == "plan" ? "id: 1\ndata: x\n\nid: 2\ndata: x\n\n" : "id: 1\ndata: x\n\n"));
            if (route == "turn")
            {
                const auto next = world.send(world.make_turn_request("next", "r"));
                world.time.run(std::chrono::milliseconds{100});
                CHECK(body_of(*next) == "no_such_turn");
            }
        }
    }
}

// Guards against: a target crashes after the header of a response without length or chunks, and the caller
// gets an empty stream as a whole one.
TEST_CASE("a stream without length or chunks that ends before its first event is lost")
{
    scripted_target_fixture world{
        {{response_head("a1") + framed(framing::until_close, ""), connection_end::close}}};
    const auto reply = world.platform.send(world.gateway, "/turn/1", "a1");
    CHECK(reply.status == 502);
    CHECK(world.platform.send(world.gateway, "/turn/1", "a2", "a1").status == 404);
}

// Guards against: whole streams taken for broken-off ones.
TEST_CASE("a stream that ends after a complete event is complete, whatever frames it, and its turn keeps all "
          "events")
{
    constexpr std::array whole_bodies{
        "id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
        "id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n",
        "id: 1\rdata: one\r\rid: 2\rdata: two\r\r",
        "id: 1\ndata: one\n\nid: 2\ndata: two\n\n: bye\n",
        "id: 1\ndata: one\n\n: c\n\nid: 2\ndata: two\n\n",
    };
    for (const auto kind : {framing::until_close, framing::length, framing::chunks})
    {
        for (const std::string body : whole_bodies)
        {
            CAPTURE(kind);
            CAPTURE(body);
            scripted_target_fixture world{
                {{response_head("a1") + "Connection: close\r\n" + framed(kind, body), connection_end::close},
                 {response_head("a2") + framed(framing::chunks, first_event), connection_end::close}}};
            const auto reply = world.platform.send(world.gateway, "/turn/1", "a1");
            CHECK(reply.status == 200);
            CHECK(reply.failure == http_failure::none);
            CHECK(reply.body == body);
            CHECK(world.platform.send(world.gateway, "/turn/1", "a2", "a1").status == 200);
            CHECK(world.target.request(1).ends_with("input of a1;one\ntwo\ninput of a2;"));
        }
    }
}

// Guards against: a response without length or chunks that was reset taken for a whole one.
TEST_CASE(
    "a plain response without length or chunks is complete after an orderly close, and lost after a reset")
{
    struct row
    {
        connection_end end;
        int status;
    };
    for (const auto& it : {row{connection_end::close, 200}, row{connection_end::reset, 502}})
    {
        CAPTURE(it.status);
        scripted_target_fixture world{
            {{response_head("b1") + framed(framing::until_close, "answer"), it.end}}, "app"};
        const auto reply = world.platform.send(world.gateway, "/tool/1", "b1");
        CHECK(reply.failure == http_failure::none);
        CHECK(reply.status == it.status);
        CHECK((reply.body == "answer") == (it.status == 200));
    }
}

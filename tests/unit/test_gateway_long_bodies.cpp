// Long bodies are passed on while they are sent, in both directions, and nothing is held without being
// reserved.
#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t part_size = 30'000;
constexpr std::size_t long_size = 4'000'000;

/// A caller that sends its body in parts as it is asked for them.
class sending_caller final : public http_body_source
{
  public:
    void read(http_body_callback on_part) override
    {
        ++reads;
        m_on_part = std::move(on_part);
        send_next();
    }
    /// Sends the parts one after another as they are asked for.
    void provide(std::deque<http_body_part> parts)
    {
        std::ranges::move(parts, std::back_inserter(m_parts));
        send_next();
    }

    std::size_t reads = 0;

  private:
    void send_next()
    {
        if (m_on_part && !m_parts.empty())
        {
            auto part = std::move(m_parts.front());
            m_parts.pop_front();
            std::exchange(m_on_part, nullptr)(std::move(part));
        }
    }

    std::deque<http_body_part> m_parts;
    http_body_callback m_on_part;
};

struct upload_fixture : forwarding_fixture
{
    std::shared_ptr<caller_view> upload(const std::string& route, const std::string& id,
                                        std::optional<std::uint64_t> length = long_size)
    {
        auto request = route == "turn" ? make_turn_request(id) : make_request(route, id);
        request.body.clear();
        request.rest = caller;
        request.body_length = length;
        return send(std::move(request));
    }

    /// Reads the next part as the connection to the target does.
    std::optional<http_body_part> read_part(const upstream_request_ptr& target)
    {
        std::optional<http_body_part> part;
        target->request.rest->read([&part](http_body_part it) { part = std::move(it); });
        return part;
    }

    std::shared_ptr<sending_caller> caller = std::make_shared<sending_caller>();
};

http_body_part part_of(char letter, body_progress progress = body_progress::more)
{
    return {.data = std::string(part_size, letter), .progress = progress};
}

} // namespace

// Guards against a gateway that holds long bodies for targets that read slowly, and is killed for its memory.
TEST_CASE("a long body is read from its caller only as its target takes it")
{
    for (const auto* const route : {"order", "lookup", "stream"})
    {
        CAPTURE(route);
        upload_fixture world;
        world.memory->set_capacity(1'000'000);
        const auto view = world.upload(route, "r");
        REQUIRE(world.sent.size() == 1);
        const auto target = world.last();
        CHECK(target->request.body.empty());
        CHECK(target->request.body_length == long_size);
        CHECK(world.caller->reads == 0);
        for (int n = 0; n < 100; ++n)
        {
            world.caller->provide({part_of('a')});
            REQUIRE(world.read_part(target)->data == std::string(part_size, 'a'));
            CHECK(world.memory->held() <= 700'000);
        }
        world.caller->provide({part_of('b', body_progress::complete)});
        CHECK(world.read_part(target)->progress == body_progress::complete);
        target->begin(200);
        target->end(200, true, "done");
        CHECK(view->ended);
        CHECK(world.memory->held() == 0);
    }
}

TEST_CASE("a long body is refused at once, and as not run, if there is no room for it")
{
    struct refusal_case
    {
        const char* route;
        std::size_t capacity;
        bool refused;
    };
    for (const auto& it : {refusal_case{"order", 100'000, true}, refusal_case{"order", 1'000'000, false},
                           refusal_case{"turn", 40'000'000, true}, refusal_case{"turn", 60'000'000, false}})
    {
        CAPTURE(it.route);
        CAPTURE(it.capacity);
        upload_fixture world;
        world.memory->set_capacity(it.capacity);
        const auto view = world.upload(it.route, "r");
        CHECK(view->response.has_value() == it.refused);
        if (view->response)
        {
            CHECK(view->response->status == 503);
            CHECK(body_of(*view) == "memory_full");
            CHECK(find_header(view->response->headers, "retry-after"));
            CHECK(world.caller->reads == 0);
        }
        CHECK((world.sent.empty() || !it.refused));
        if (it.refused)
        {
            CHECK(world.memory->held() == 0);
        }
    }
}

TEST_CASE("a long body goes to another target only while all of it can still be sent")
{
    struct repeat_case
    {
        const char* name;
        std::size_t capacity;
        std::size_t attempts;
        int status;
    };
    for (const auto& it : {repeat_case{"kept", 10'000'000, 2, 200}, repeat_case{"no room", 500'000, 1, 503}})
    {
        CAPTURE(it.name);
        upload_fixture world;
        world.memory->set_capacity(it.capacity);
        const auto view = world.upload("order", "r");
        const auto first = world.last();
        world.caller->provide(std::deque<http_body_part>(20, part_of('a')));
        for (int n = 0; n < 20; ++n)
        {
            REQUIRE(world.read_part(first));
        }
        first->refuse();
        REQUIRE(world.sent.size() == it.attempts);
        if (it.attempts == 2)
        {
            const auto second = world.last();
            world.caller->provide({part_of('b', body_progress::complete)});
            std::string body;
            std::optional<http_body_part> part;
            do
            {
                part = world.read_part(second);
                REQUIRE(part);
                body += part->data;
            } while (part->progress == body_progress::more);
            CHECK(body == std::string(20 * part_size, 'a') + std::string(part_size, 'b'));
            second->begin(200);
            second->end(200, true, "done");
        }
        REQUIRE(view->response);
        CHECK(view->response->status == it.status);
        CHECK(world.memory->held() == 0);
    }
}

TEST_CASE("a body that its caller stops sending is no reason to promise that it has not run")
{
    for (const auto* const route : {"order", "turn"})
    {
        CAPTURE(route);
        upload_fixture world;
        const auto view = world.upload(route, "r");
        const bool passed_on = route == std::string{"order"};
        CHECK(world.sent.size() == (passed_on ? 1 : 0));
        std::optional<http_body_part> part;
        if (passed_on)
        {
            part = world.read_part(world.last());
        }
        world.caller->provide({{.data = {}, .progress = body_progress::stalled}});
        REQUIRE(view->response);
        CHECK(body_of(*view) == "body_stalled");
        CHECK(view->response->status == (passed_on ? 502 : 503));
        CHECK(world.memory->held() == 0);
    }
}

TEST_CASE("a body that is passed on in parts is known again under its content")
{
    upload_fixture world;
    const auto whole = std::string(part_size, 'a') + std::string(part_size, 'b');
    const auto send_all = [&](const std::string& id)
    {
        world.caller = std::make_shared<sending_caller>();
        auto view = world.upload("lookup", id);
        if (!view->response)
        {
            const auto target = world.last();
            world.caller->provide({part_of('a'), part_of('b', body_progress::complete)});
            world.read_part(target);
            world.read_part(target);
        }
        return view;
    };
    world.checked_state = server_state::ended;
    std::size_t refused = 0;
    for (int n = 0; n < 6; ++n)
    {
        const auto view = send_all("r" + std::to_string(n));
        const auto attempt = world.last();
        if (!view->response && attempt->on_reply)
        {
            attempt->fail(http_failure::broken);
        }
        world.time.run(10ms);
        refused += view->response && body_of(*view) == "poison_request" ? 1 : 0;
        // The attempts after the first read what was kept.
        while (!view->response && world.last()->on_reply)
        {
            const auto next = world.last();
            world.read_part(next);
            world.read_part(next);
            if (!view->response)
            {
                next->fail(http_failure::broken);
            }
            world.time.run(10ms);
        }
    }
    CHECK(refused > 0);
    CHECK(world.memory->held() == 0);
}

// Guards against proper responses that are refused for their size.
TEST_CASE("a long response is passed on while it is received, and its target waits for its caller")
{
    forwarding_fixture world;
    world.memory->set_capacity(400'000);
    const auto view = world.send(world.make_request("order", "r"));
    const auto target = world.last();
    target->begin(200, true, long_size);
    std::size_t sent = 0;
    std::size_t unread = 0;
    memory_lease unread_memory{world.memory, memory_use::responses};
    while (sent < long_size)
    {
        const auto before = view->text.size();
        target->on_chunk(std::string(20'000, 'y'));
        sent += 20'000;
        unread += view->text.size() - before;
        unread_memory.set(unread);
        CHECK(unread <= 300'000);
        if (target->paused)
        {
            view->on_written(std::exchange(unread, 0));
            CHECK_FALSE(target->paused);
        }
    }
    CHECK(view->stream_status == 200);
    CHECK(view->stated_length == long_size);
    CHECK(view->text.size() == long_size);
    CHECK_FALSE(view->ended);
    target->end(200);
    CHECK(view->ended);
    unread_memory.reset();
    CHECK(world.memory->held() == 0);
}

TEST_CASE("a response that breaks off is replaced while it is short, and never looks complete")
{
    for (const std::size_t size : {1'000U, 200'000U})
    {
        CAPTURE(size);
        forwarding_fixture world;
        const auto view = world.send(world.make_request("lookup", "r"));
        const auto first = world.last();
        first->begin(200);
        first->on_chunk(std::string(size, 'y'));
        first->fail(http_failure::broken);
        world.time.run(10ms);
        const bool replaced = size < 64'000;
        CHECK(world.sent.size() == (replaced ? 2 : 1));
        if (replaced)
        {
            world.last()->end(200, true, "done");
            CHECK(body_of(*view) == "done");
            continue;
        }
        CHECK(view->closed);
        CHECK_FALSE(view->response);
    }
}

TEST_CASE("at its deadline a response goes on only if its caller is what it waits for, and its end is near")
{
    struct late_case
    {
        const char* name;
        std::optional<std::uint64_t> length;
        bool caller_waits_to_read;
        bool goes_on;
    };
    for (const auto& it : {late_case{"a slow caller", long_size, true, true},
                           late_case{"a slow target", long_size, false, false},
                           late_case{"no end in sight", 1'000'000'000'000, true, false},
                           late_case{"an unknown end", std::nullopt, true, false}})
    {
        CAPTURE(it.name);
        forwarding_fixture world;
        const auto view = world.send(world.make_request("order", "r"));
        const auto target = world.last();
        target->begin(200, true, it.length);
        target->on_chunk(std::string(100'000, 'y'));
        if (!it.caller_waits_to_read)
        {
            view->on_written(100'000);
        }
        world.time.run(5s);
        CHECK(view->closed == !it.goes_on);
        CHECK(target->cancelled == !it.goes_on);
        world.time.run(90s);
        CHECK(view->closed);
        CHECK(world.memory->held() == 0);
    }
}

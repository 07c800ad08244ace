// A long body that is sent again: what each attempt gets is a prefix of what its caller has sent.
#include "../../src/gateway/upload_body.hpp"

#include "support/test_seed.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>

using namespace masticcourse;
using gateway::detail::upload_body;

namespace
{

/// A caller whose parts arrive when the test says so.
class scripted_caller final : public http_body_source
{
  public:
    explicit scripted_caller(std::deque<std::string> parts) : m_parts(std::move(parts)) {}

    void read(http_body_callback on_part) override
    {
        m_on_part = std::move(on_part);
    }

    [[nodiscard]] bool is_asked() const
    {
        return m_on_part != nullptr;
    }

    void send()
    {
        http_body_part part{.data = m_parts.front()};
        m_parts.pop_front();
        part.progress = m_parts.empty() ? body_progress::complete : body_progress::more;
        std::exchange(m_on_part, nullptr)(std::move(part));
    }

  private:
    std::deque<std::string> m_parts;
    http_body_callback m_on_part;
};

/// What an attempt has got.
struct attempt
{
    std::string bytes;
    bool asked = false;
    bool complete = false;
    bool broken = false;

    [[nodiscard]] bool ended() const
    {
        return complete || broken;
    }
};

/// A body of 16 parts of ten bytes, of which @a room bytes can be kept.
struct upload_fixture
{
    explicit upload_fixture(std::size_t room) : account(std::make_shared<memory_account>())
    {
        // The account gives repeats two fifths of its capacity.
        account->set_capacity(room * 5 / 2 + 100);
        std::deque<std::string> parts;
        for (char c = 'a'; c < 'q'; ++c)
        {
            whole += std::string(10, c);
            parts.emplace_back(10, c);
        }
        const auto beginning = parts.front();
        parts.pop_front();
        caller = std::make_shared<scripted_caller>(std::move(parts));
        body = std::make_shared<upload_body>(beginning, caller, whole.size(),
                                             memory_lease{account, memory_use::repeats});
        begin();
    }

    void begin()
    {
        current = std::make_shared<attempt>();
        body->restart();
    }

    void read()
    {
        current->asked = true;
        body->read(
            [it = current](const http_body_part& part)
            {
                it->asked = false;
                it->bytes += part.data;
                it->complete = part.progress == body_progress::complete;
                it->broken = part.progress == body_progress::broken;
            });
    }

    memory_account_ptr account;
    std::string whole;
    std::shared_ptr<scripted_caller> caller;
    std::shared_ptr<upload_body> body;
    std::shared_ptr<attempt> current;
};

} // namespace

// Guards against: an upload that is sent again lacks its middle, since what was kept of it was dropped for
// lack of memory before it had been sent; the request runs and is answered 200.
TEST_CASE("an attempt whose kept parts are dropped before it has sent them ends as broken")
{
    upload_fixture world{100};
    for (int n = 0; n < 4; ++n)
    {
        world.read();
        if (world.caller->is_asked())
        {
            world.caller->send();
        }
    }
    // The next part has been asked for when the target ends and memory runs out.
    world.read();
    world.begin();
    world.read();
    CHECK(world.current->bytes == world.whole.substr(0, 10));
    world.account->set_capacity(0);
    world.caller->send();
    while (!world.current->ended())
    {
        world.read();
        if (world.current->asked && world.caller->is_asked())
        {
            world.caller->send();
        }
    }
    CHECK(world.current->broken);
    CHECK(world.whole.starts_with(world.current->bytes));
    CHECK_FALSE(world.body->can_restart());
}

TEST_CASE("what a target gets of an upload is a prefix of what the caller sent, whatever happens meanwhile")
{
    std::mt19937_64 random{testing::test_seed().value};
    const auto chance = [&random](int percent) {
        return std::uniform_int_distribution{0, 99}(random) < percent;
    };
    int whole = 0;
    int broken = 0;
    for (int n = 0; n < 5'000; ++n)
    {
        upload_fixture world{std::uniform_int_distribution<std::size_t>{0, 200}(random)};
        for (int step = 0; step < 200 && !world.current->ended(); ++step)
        {
            if (!world.current->asked && chance(60))
            {
                world.read();
            }
            if (world.caller->is_asked() && chance(50))
            {
                world.caller->send();
            }
            if (chance(5) && world.body->can_restart())
            {
                world.begin();
            }
            if (chance(2))
            {
                world.account->set_capacity(0);
            }
            CHECK(world.whole.starts_with(world.current->bytes));
        }
        CHECK((!world.current->complete || world.current->bytes == world.whole));
        whole += world.current->complete ? 1 : 0;
        broken += world.current->broken ? 1 : 0;
    }
    // Both ends are reached often enough for the check to mean something.
    CHECK(whole > 100);
    CHECK(broken > 100);
}

// The real cores of entries and targets together, in virtual time: the main job, and what must hold under
// each fault.
#include "support/caller_agent.hpp"
#include "support/chaos.hpp"
#include "support/system_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace masticcourse;
using namespace masticcourse::tests;
using namespace std::chrono_literals;

namespace
{

/// A world with agents in it.
struct fixture
{
    system_world world;
    std::deque<caller_agent> agents;

    explicit fixture(system_options options = {}) : world(options)
    {
        REQUIRE(world.run_until([&] { return world.shards_owned() == world.options().shards; }, 5s));
    }

    void start(std::size_t count, const agent_options& options = {})
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            agents.emplace_back(world, "agent" + std::to_string(agents.size()), options).start();
        }
    }

    bool finish(core_duration longest = 120s)
    {
        return world.run_until([&] { return std::ranges::all_of(agents, &caller_agent::done); }, longest);
    }

    void check()
    {
        for (auto& it : agents)
        {
            it.check_at_rest();
            for (const auto& violation : it.violations())
            {
                FAIL_CHECK(violation << "\n" << world.trace());
            }
        }
    }
};

} // namespace

TEST_CASE("the main job")
{
    fixture f;
    SUBCASE("programs run to their end and engines hold nothing afterwards")
    {
        f.start(10);
        REQUIRE_MESSAGE(f.finish(), f.world.trace());
        CHECK(f.world.run_until([&] { return !f.world.any_memory_held(); }, 10s));
        f.check();
    }
}

TEST_CASE("random faults")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        const auto report = run_chaos({.seed = seed});
        INFO("seed " << seed);
        for (const auto& it : report.violations)
        {
            FAIL_CHECK(it << " seed " << seed);
        }
        MESSAGE(seed << ": turns " << report.turns << ", unknown " << report.unknown_turns << ", refusals "
                     << report.refusals << ", takeovers " << report.takeovers << ", seconds "
                     << report.elapsed.count() / 1000000);
    }
}

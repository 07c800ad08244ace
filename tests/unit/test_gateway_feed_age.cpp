// The age of what gateways act on, behind any set of other gateways that are silent, gone, slow or out of
// date.
#include "support/feed_fleet.hpp"
#include "support/test_seed.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::array tables{feed_fleet::config_table, feed_fleet::target_table};

constexpr std::array faults{gateway_fault::cut_off, gateway_fault::frozen, gateway_fault::dark,
                            gateway_fault::killed,  gateway_fault::slow,   gateway_fault::without_store,
                            gateway_fault::replaced};

struct fleet_size
{
    std::size_t gateways = 0;
    std::size_t domains = 0;
};

/// A fleet in which both tables change, and sets of gateways are disturbed again and again.
class disturbed_fleet
{
  public:
    disturbed_fleet(fleet_size size, std::uint64_t seed)
        : m_fleet(size.gateways, size.domains), m_domains(size.domains), m_random(seed)
    {
        std::ranges::for_each(tables, [this](const auto* it) { m_fleet.publish(it); });
        m_fleet.time.run(20s);
    }

    /// @param most_at_once the largest number of gateways of a failure domain disturbed together
    /// @return the worst of what gateways knew
    feed_fleet::knowledge worst_within(seconds span, std::size_t most_at_once)
    {
        constexpr milliseconds step{20};
        feed_fleet::knowledge worst;
        const auto end = m_fleet.time.now() + span;
        while (m_fleet.time.now() < end)
        {
            change_tables();
            disturb(most_at_once);
            m_fleet.time.run(step);
            for (const auto* const it : tables)
            {
                const auto now = m_fleet.knowledge_of(it);
                worst.oldest = std::max(worst.oldest, now.oldest);
                worst.understated = std::max(worst.understated, now.understated);
                worst.undecided = std::max(worst.undecided, now.undecided);
            }
        }
        return worst;
    }

  private:
    milliseconds draw(milliseconds least, milliseconds most)
    {
        return milliseconds{
            std::uniform_int_distribution<milliseconds::rep>{least.count(), most.count()}(m_random)};
    }

    void change_tables()
    {
        if (m_fleet.time.now() >= m_next_change)
        {
            m_fleet.publish(tables[static_cast<std::size_t>(draw(0ms, 1ms).count())]);
            m_next_change = m_fleet.time.now() + draw(20ms, 1'500ms);
        }
    }

    void disturb(std::size_t most_at_once)
    {
        if (m_fleet.time.now() < m_next_fault)
        {
            return;
        }
        m_next_fault = m_fleet.time.now() + draw(300ms, 4s);
        const auto domain = "domain " + std::to_string(m_random() % m_domains);
        auto chosen = m_fleet.undisturbed(domain);
        std::ranges::shuffle(chosen, m_random);
        // The roots come first: most others depend on them.
        const auto roots = m_fleet.roots_among(chosen);
        std::ranges::stable_partition(chosen, [&roots](const auto& it)
                                      { return std::ranges::find(roots, it) != roots.end(); });
        const auto most = std::min(most_at_once, chosen.size());
        chosen.resize(most == 0 ? 0 : 1 + m_random() % most);
        const auto fault = faults.at(m_random() % faults.size());
        const auto span = draw(500ms, 6s);
        for (const auto& it : chosen)
        {
            m_fleet.disturb(it, fault, span);
        }
    }

    feed_fleet m_fleet;
    std::size_t m_domains;
    std::minstd_rand m_random;
    time_point m_next_change{};
    time_point m_next_fault{};
};

} // namespace

// Guards against a gateway that refuses a route, or sends to a target, by tables older than the deployment
// allows, because the gateways that it follows are silent, gone or behind themselves.
TEST_CASE("what a gateway in touch acts on is never older than the bound, whatever others do")
{
    struct drawn_case
    {
        fleet_size size;
        std::size_t most_at_once;
        std::uint64_t days;
        seconds length;
    };
    for (const auto& it : {drawn_case{{.gateways = 13, .domains = 3}, 4, 12, 120s},
                           drawn_case{{.gateways = 127, .domains = 5}, 20, 2, 60s},
                           drawn_case{{.gateways = 625, .domains = 5}, 60, 1, 10s}})
    {
        for (std::uint64_t day = 0; day < it.days; ++day)
        {
            const auto seed = test_seed().value + day;
            CAPTURE(it.size.gateways);
            CAPTURE(seed);
            disturbed_fleet fleet{it.size, seed};
            const auto worst = fleet.worst_within(it.length, it.most_at_once);
            CHECK(worst.oldest <= max_table_age);
            CHECK(worst.undecided == 0);
            CHECK(worst.understated <= 1ms);
        }
    }
}

// Load pattern: all roots of a failure domain go silent in the same moment. Only those that follow a root
// directly turn to the store, a number that does not grow with the fleet.
TEST_CASE("when all roots of a failure domain go, the store is asked by those that followed them directly")
{
    struct sized_case
    {
        fleet_size size;
        gateway_fault fault = gateway_fault::dark;
    };
    for (const auto& it : {sized_case{{.gateways = 13, .domains = 3}, gateway_fault::dark},
                           sized_case{{.gateways = 127, .domains = 5}, gateway_fault::frozen},
                           sized_case{{.gateways = 625, .domains = 5}, gateway_fault::cut_off}})
    {
        CAPTURE(it.size.gateways);
        CAPTURE(static_cast<int>(it.fault));
        feed_fleet fleet{it.size.gateways, it.size.domains};
        std::ranges::for_each(tables, [&fleet](const auto* table) { fleet.publish(table); });
        fleet.time.run(12s);
        const auto usage_within = [&fleet](seconds span)
        {
            const auto before = fleet.store.usage;
            fleet.time.run(span);
            return fleet.store.usage - before;
        };
        const auto at_rest = usage_within(5s).reads;
        const auto roots = fleet.roots_among(fleet.undisturbed("domain 0"));
        CHECK(roots.size() == feed_roots);
        for (const auto& root : roots)
        {
            fleet.disturb(root, it.fault, 8s);
        }
        const auto affected = std::min(it.size.gateways / it.size.domains, feed_roots * (feed_fanout + 1));
        // Each of them asks for each of the three tables at most twice a second.
        const auto used = usage_within(5s);
        CHECK(used.reads <= at_rest + affected * 3 * 2 * 5);
        CHECK(used.refused == 0);
        MESSAGE(it.size.gateways, " gateways: ", at_rest, " reads in 5 s at rest, ", used.reads,
                " without the roots of a domain");
    }
}

// Guards against a gateway that acts on old tables because it takes the store for away, when it was only late
// itself to look at the store's replies.
TEST_CASE("a gateway that is short of processor time acts on nothing that is older than the bound")
{
    struct starved_case
    {
        fleet_size size;
        /// Time between two moments at which the processes run.
        milliseconds pass;
        std::size_t starved;
    };
    for (const auto& it : {starved_case{{.gateways = 13, .domains = 3}, 100ms, 13},
                           starved_case{{.gateways = 13, .domains = 3}, 400ms, 4},
                           starved_case{{.gateways = 13, .domains = 3}, 1s, 4},
                           starved_case{{.gateways = 13, .domains = 3}, 3s, 2},
                           starved_case{{.gateways = 127, .domains = 5}, 1s, 20}})
    {
        CAPTURE(it.size.gateways);
        CAPTURE(it.pass.count());
        feed_fleet fleet{it.size.gateways, it.size.domains};
        std::ranges::for_each(tables, [&fleet](const auto* table) { fleet.publish(table); });
        fleet.time.run(20s);
        auto chosen = fleet.undisturbed("domain 0");
        for (std::size_t domain = 1; domain < it.size.domains; ++domain)
        {
            std::ranges::copy(fleet.undisturbed("domain " + std::to_string(domain)),
                              std::back_inserter(chosen));
        }
        chosen.resize(it.starved);
        constexpr seconds span{60};
        for (const auto& address : chosen)
        {
            fleet.starve(address, it.pass, span);
        }
        duration oldest{};
        constexpr milliseconds step{20};
        for (int n = 0; n < span / step; ++n)
        {
            if (n % 40 == 0)
            {
                fleet.publish(tables.at(static_cast<std::size_t>(n / 40) % tables.size()));
            }
            fleet.time.run(step);
            for (const auto* const table : tables)
            {
                oldest = std::max(oldest, fleet.knowledge_of(table).oldest);
            }
        }
        CHECK(oldest <= max_table_age);
        // Once they run as usual, they decide again.
        fleet.time.run(5s);
        CHECK(fleet.knowledge_of(feed_fleet::config_table).undecided == 0);
    }
}

// Guards against a gateway that keeps an old table although the gateways that it follows know the new one:
// its own reads of the store fail, one after the other, and it never asks its source again.
TEST_CASE("a gateway whose reads of the store fail learns from its source as soon as that replies again")
{
    for (const auto fault : {gateway_fault::frozen, gateway_fault::cut_off, gateway_fault::slow})
    {
        CAPTURE(static_cast<int>(fault));
        feed_fleet fleet{13, 3};
        fleet.set_call_timeout(1'500ms);
        std::ranges::for_each(tables, [&fleet](const auto* table) { fleet.publish(table); });
        fleet.time.run(20s);
        const auto domain = fleet.undisturbed("domain 0");
        const auto roots = fleet.roots_among(domain);
        const auto follower = *std::ranges::find_if(domain, [&roots](const auto& it)
                                                    { return std::ranges::find(roots, it) == roots.end(); });
        fleet.disturb(follower, gateway_fault::without_store, 40s);
        constexpr seconds silence{3};
        std::ranges::for_each(roots, [&](const auto& it) { fleet.disturb(it, fault, silence); });
        // A source that failed is left out for 6 s at most.
        fleet.time.run(silence + 7s);
        duration oldest{};
        for (int n = 0; n < 100; ++n)
        {
            if (n % 10 == 0)
            {
                fleet.publish(feed_fleet::config_table);
            }
            fleet.time.run(200ms);
            oldest = std::max(oldest, fleet.lag_of(follower, feed_fleet::config_table));
        }
        CHECK(oldest <= max_table_age);
    }
}

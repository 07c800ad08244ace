// What callers get of a program, over all gateways, is never more than its budget and the most of one turn.
#include "support/budget_site.hpp"
#include "support/test_seed.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// Whether a gateway was replaced by a new incarnation, so that nobody knows what its last turns cost.
bool was_replaced(const budget_site& site)
{
    // Incarnations are numbered; the first ones have the numbers of the gateways.
    return std::ranges::any_of(site.gateways, [&site](const auto& it)
                               { return std::stoul(it->self.incarnation) > site.gateways.size(); });
}

} // namespace

// Guards against turns that are charged and granted: the overdraft that stays open beyond the budget is then
// handed out again. Load pattern: several turns of a program at once on three gateways, with outages shorter
// than a turn, conflicting writes, lost replies, callers that leave and gateways that are killed.
TEST_CASE("under any fault a program's callers get no more than its budget and the most of one turn")
{
    constexpr unsigned cases = 2'000;
    const auto first_seed = static_cast<unsigned>(test_seed().value) * cases;
    token_count most_read = 0;
    for (unsigned seed = first_seed; seed < first_seed + cases; ++seed)
    {
        CAPTURE(seed);
        budget_site site{3, seed};
        for (int step = 0; step < 60; ++step)
        {
            site.run_random_step();
            REQUIRE(site.tokens_read() <= site.terms.budget + site.terms.max_tokens);
        }
        most_read = std::max(most_read, site.tokens_read());
        site.settle();
        if (!was_replaced(site))
        {
            // What a turn cost is known, so the row holds what callers got, once, and no reservation.
            CHECK(site.row().reserved.empty());
            CHECK(site.row().spent == site.tokens_read());
        }
    }
    // The cases reach the bound, so that a leak would show.
    CHECK(most_read == budget_terms{}.budget + budget_terms{}.max_tokens);
}

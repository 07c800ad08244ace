// Budgets: never overspent, whatever crashes, and what a crash strands.
#include "masticcourse/state/budget_ledger.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <optional>
#include <vector>

using namespace masticcourse;

namespace
{

const program_id root{"root"};
const program_id child{"child"};
constexpr token_count budget = 1000;
constexpr token_count chunk = 100;

/// A root and a sub-agent over a chain of homes, each of which may die at any point.
struct budget_script
{
    budget_ledger ledger = make(0, 0);
    std::vector<reservation> held;
    std::optional<token_count> on_its_way;
    /// The truth: what targets have burnt, what is durable, what durable turns have recorded.
    token_count burnt = 0;
    token_count durable_escrow = 0;
    token_count committed = 0;

    static budget_ledger make(token_count escrow, token_count settled)
    {
        budget_ledger result(root, budget, escrow, settled, chunk);
        result.add(child, root, budget / 4);
        return result;
    }

    void run(std::uint16_t step)
    {
        const token_count operand = step / 8;
        switch (step % 8)
        {
        case 0:
            begin(root, operand % 150);
            break;
        case 1:
            begin(child, operand % 150);
            break;
        case 2:
            on_its_way = on_its_way ? on_its_way : ledger.needs_escrow(operand % 150);
            ledger.escrow_requested(on_its_way.value_or(0));
            break;
        case 3:
            escrow_arrives();
            break;
        case 4:
            finish(operand, true);
            break;
        case 5:
            finish(operand, false);
            break;
        case 6:
            cancel();
            break;
        default:
            // The home dies: calls under way have burnt their tokens, and nobody settles them.
            held.clear();
            on_its_way.reset();
            ledger = make(durable_escrow, committed);
            break;
        }
    }

    void begin(const program_id& program, token_count cost)
    {
        if (auto it = ledger.reserve(program, cost))
        {
            held.push_back(*it);
            burnt += it->amount;
        }
    }

    void escrow_arrives()
    {
        if (on_its_way)
        {
            durable_escrow = std::max(durable_escrow, *on_its_way);
            ledger.escrow_durable(*on_its_way);
            on_its_way.reset();
        }
    }

    void finish(token_count operand, bool turn_durable)
    {
        if (!held.empty())
        {
            const reservation it = held.back();
            held.pop_back();
            const token_count actual = operand % (it.amount + 1);
            burnt -= it.amount - actual;
            committed += turn_durable ? ledger.settle(it, actual) : 0;
            if (!turn_durable)
            {
                ledger.settle(it, actual);
            }
        }
    }

    void cancel()
    {
        if (!held.empty())
        {
            burnt -= held.back().amount;
            ledger.cancel(held.back());
            held.pop_back();
        }
    }
};

} // namespace

TEST_CASE("a tree of programs never burns more than its budget, nor more than durable escrow")
{
    CHECK(rc::check("budget",
                    [](const std::vector<std::uint16_t>& steps)
                    {
                        budget_script script;
                        for (const auto it : steps)
                        {
                            script.run(it);
                            RC_ASSERT(script.burnt <= budget);
                            RC_ASSERT(script.burnt <= script.durable_escrow);
                            RC_ASSERT(script.ledger.spent() + script.ledger.reserved() <=
                                      script.ledger.escrow());
                            RC_ASSERT(script.ledger.spent(child) <= budget / 4);
                        }
                    }));
}

TEST_CASE("what a crash strands is known")
{
    budget_ledger ledger(root, budget, 0, 0, chunk);
    CHECK_FALSE(ledger.reserve(10));
    REQUIRE(ledger.needs_escrow(10) == chunk);
    ledger.escrow_requested(chunk);
    CHECK_FALSE(ledger.needs_escrow(10));
    CHECK_FALSE(ledger.reserve(10));
    ledger.escrow_durable(chunk);
    const auto settled = ledger.reserve(30);
    REQUIRE(settled);
    CHECK(ledger.settle(*settled, 20) == 20);
    const auto open = ledger.reserve(40);
    REQUIRE(open);
    CHECK(ledger.at_risk() == 80);

    const budget_ledger successor(root, budget, chunk, 20, chunk);
    CHECK(successor.stranded() == 80);
    CHECK(successor.spent() == chunk);
    CHECK(successor.affordable(root, budget - chunk));
    CHECK_FALSE(successor.affordable(root, budget - chunk + 1));
}

TEST_CASE("a sub-agent draws on its parent, within its own budget")
{
    budget_ledger ledger(root, budget, budget, 0, chunk);
    // All escrow found at recovery counts as spent.
    CHECK_FALSE(ledger.reserve(1));

    budget_ledger fresh(root, budget, 0, 0, budget);
    fresh.escrow_durable(budget);
    CHECK(fresh.add(child, root, 300));
    CHECK_FALSE(fresh.add({"orphan"}, {"nobody"}, 300));
    const auto it = fresh.reserve(child, 200);
    REQUIRE(it);
    CHECK_FALSE(fresh.reserve(child, 101));
    CHECK(fresh.reserve(child, 100));
    CHECK_FALSE(fresh.reserve(701));
    CHECK(fresh.settle(*it, 50) == 50);
    CHECK(fresh.spent(child) == 50);
    CHECK(fresh.spent() == 50);
    CHECK(fresh.settle(*it, 50) == 0);
}

TEST_CASE("a call that cost more than its reservation is charged as far as the budget goes")
{
    budget_ledger ledger(root, 100, 0, 0, 100);
    ledger.escrow_durable(100);
    const auto it = ledger.reserve(80);
    REQUIRE(it);
    CHECK(ledger.settle(*it, 130) == 100);
    CHECK(ledger.overrun() == 30);
    CHECK(ledger.spent() == 100);
}

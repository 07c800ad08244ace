// What is known about a program's budget suffices for a refusal only if it is recent enough.
#include "masticcourse/gateway/budget_evidence.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace std::chrono_literals;

namespace
{

const time_point arrived{100s};

struct evidence_case
{
    const char* name;
    std::function<void(budget_evidence&)> learn;
    refusal_basis expected;
};

} // namespace

TEST_CASE("a refusal needs the store's row and the state of all turns that hold a reservation")
{
    const spending_row row{.spent = 1, .reserved = {{{"a"}, 50}, {{"b"}, 50}}};
    const auto check_b = [](budget_evidence& it) { it.found_unfinished({"b"}, arrived); };
    const std::vector<evidence_case> cases{
        {"nothing is known", [](auto&) {}, refusal_basis::lacks_row},
        {"the row was read before the turn arrived", [](auto& it) { it.confirm_row(arrived - 1ms); },
         refusal_basis::lacks_row},
        {"the row was replaced by a cached one",
         [](auto& it)
         {
             it.confirm_row(arrived);
             it.distrust_row();
         },
         refusal_basis::lacks_row},
        {"one turn is unchecked",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
         },
         refusal_basis::lacks_turns},
        {"all turns run",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.found_unfinished({"a"}, arrived + 1ms);
         },
         refusal_basis::sufficient},
        {"a turn was found running shortly before",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.found_unfinished({"a"}, arrived - 200ms);
         },
         refusal_basis::sufficient},
        {"a turn was found running long before",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             it.found_unfinished({"a"}, arrived - 400ms);
             check_b(it);
         },
         refusal_basis::lacks_turns},
        {"a turn runs here",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.begin_here({"a"});
         },
         refusal_basis::sufficient},
        {"a turn has ended here",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.begin_here({"a"});
             it.end_here({"a"});
         },
         refusal_basis::lacks_turns},
        {"a turn could not be looked up",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.lookup_failed(arrived);
         },
         refusal_basis::unavailable},
        {"a turn could not be looked up before this one arrived",
         [&](auto& it)
         {
             it.confirm_row(arrived);
             check_b(it);
             it.lookup_failed(arrived - 1ms);
         },
         refusal_basis::lacks_turns},
    };
    for (const auto& it : cases)
    {
        CAPTURE(it.name);
        budget_evidence evidence;
        it.learn(evidence);
        CHECK(evidence.basis(row, arrived, arrived + 5ms) == it.expected);
    }
}

TEST_CASE("a slow lookup still counts for the turn that it was made for")
{
    const spending_row row{.reserved = {{{"a"}, 50}}};
    budget_evidence evidence;
    evidence.confirm_row(arrived);
    evidence.found_unfinished({"a"}, arrived);
    CHECK(evidence.basis(row, arrived, arrived + 2s) == refusal_basis::sufficient);
    CHECK(evidence.basis(row, arrived + 1s, arrived + 2s) == refusal_basis::lacks_row);
}

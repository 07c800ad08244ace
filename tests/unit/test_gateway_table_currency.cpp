// What a gateway decides by tables that are old: with the store within reach nothing, while it is away what
// can be taken back.
#include "support/forwarding_world.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

struct currency_case
{
    table_currency before = table_currency::current;
    /// After the refresh that the request waits for.
    table_currency after = table_currency::current;
    std::string route;
    /// The refusal's reason; empty if the request is sent to a target.
    std::string refused;
    std::size_t refreshes = 0;
};

} // namespace

// Guards against final refusals, and requests to targets that have left, by tables that nobody has confirmed.
TEST_CASE("old tables decide nothing while the store can be read, and are no reason for a final refusal")
{
    using enum table_currency;
    for (const auto& it : {currency_case{current, current, "lookup", "", 0},
                           currency_case{current, current, "nowhere", "no_route", 0},
                           currency_case{store_away, store_away, "lookup", "", 0},
                           currency_case{store_away, store_away, "nowhere", "tables_out_of_date", 0},
                           currency_case{out_of_date, current, "lookup", "", 1},
                           currency_case{out_of_date, store_away, "order", "", 1},
                           currency_case{out_of_date, out_of_date, "lookup", "tables_out_of_date", 1},
                           currency_case{out_of_date, out_of_date, "order", "tables_out_of_date", 1},
                           currency_case{out_of_date, out_of_date, "nowhere", "tables_out_of_date", 0}})
    {
        CAPTURE(it.route);
        CAPTURE(it.refused);
        forwarding_fixture world;
        world.currency = it.before;
        const auto view = world.send(world.make_request(it.route, "r"));
        CHECK(world.sent.size() == (it.refused.empty() && it.refreshes == 0 ? 1 : 0));
        world.currency = it.after;
        world.time.run(100ms);
        CHECK(world.refreshes == it.refreshes);
        CHECK(world.sent.size() == (it.refused.empty() ? 1 : 0));
        REQUIRE(view->response.has_value() == !it.refused.empty());
        if (view->response)
        {
            CHECK(body_of(*view) == it.refused);
            const bool final_refusal = it.refused == "no_route";
            CHECK(find_header(view->response->headers, "retry-after").has_value() == !final_refusal);
        }
    }
}

TEST_CASE("a request is not sent again by tables that went out of date during its first attempt")
{
    forwarding_fixture world;
    const auto view = world.send(world.make_request("lookup", "r"));
    REQUIRE(world.sent.size() == 1);
    world.currency = table_currency::out_of_date;
    world.last()->refuse();
    world.time.run(100ms);
    CHECK(world.sent.size() == 1);
    CHECK(world.refreshes == 1);
    REQUIRE(view->response);
    CHECK(body_of(*view) == "tables_out_of_date");
}

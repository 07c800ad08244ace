// Tests of route matching, configuration versions and weighted service selection.
#include "masticcourse/gateway/route_table.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

using namespace masticcourse;
using namespace masticcourse::gateway;

namespace
{

gateway_config two_hosts(config_version version)
{
    return {.version = version,
            .routes = {{.name = "wide", .host = "a.example", .prefix = "/", .services = {{{"s"}, 1}}},
                       {.name = "deep", .host = "a.example", .prefix = "/x/", .services = {{{"s"}, 1}}},
                       {.name = "other", .host = "b.example", .prefix = "/x/y/", .services = {{{"s"}, 1}}}}};
}

} // namespace

TEST_CASE("the route of the host with the longest matching prefix is selected")
{
    struct row
    {
        std::string_view host;
        std::string_view path;
        std::string_view route;
    };
    constexpr std::array table{
        row{"a.example", "/x/1", "deep"},     row{"a.example", "/y", "wide"},
        row{"A.Example:8080", "/x/", "deep"}, row{"a.example", "/x", "wide"},
        row{"b.example", "/x/y/z", "other"},  row{"b.example", "/x/", "none"},
        row{"c.example", "/x/y/z", "none"},   row{"", "/", "none"},
    };
    const auto config = two_hosts(1);
    for (const auto& it : table)
    {
        CAPTURE(it.host);
        CAPTURE(it.path);
        const auto* const route = config.find_route(it.host, it.path);
        CHECK((route != nullptr ? route->name : "none") == it.route);
    }
}

TEST_CASE("an older configuration, or the same again, never replaces a newer one")
{
    config_holder holder;
    CHECK(holder.current() == nullptr);
    CHECK(holder.adopt(two_hosts(5)));
    CHECK_FALSE(holder.adopt(two_hosts(4)));
    CHECK_FALSE(holder.adopt(two_hosts(5)));
    CHECK(holder.current()->version == 5);
    const auto kept_by_a_request = holder.current();
    CHECK(holder.adopt(two_hosts(9)));
    CHECK(holder.current()->version == 9);
    CHECK(kept_by_a_request->version == 5);
}

TEST_CASE("requests are divided by weight, and a key always maps to the same service")
{
    const route split{.services = {{{"big"}, 90}, {{"small"}, 10}, {{"off"}, 0}}};
    int small = 0;
    constexpr int keys = 2'000;
    for (int n = 0; n < keys; ++n)
    {
        const auto key = "program-" + std::to_string(n);
        const auto& chosen = choose_service(split, key);
        CHECK(chosen == choose_service(split, key));
        CHECK(chosen.value != "off");
        small += chosen.value == "small" ? 1 : 0;
    }
    CHECK(small > keys / 20);
    CHECK(small < keys * 3 / 20);
}

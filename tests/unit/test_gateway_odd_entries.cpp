// Entries that other writers left in the tables that a gateway reads: it goes on, and changes that follow
// take effect.
#include "gateway_fixture.hpp"
#include "support/text.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::testing;

namespace
{

/// Levels of nesting; more than a row of 64 kB holds.
constexpr std::size_t deep = 60'000;

/// @return an entry of a target in which a member has the value @a value
std::string entry_with(const std::string& name, const std::string& value)
{
    const std::vector<std::pair<std::string, std::string>> members{{"service", R"("app")"},
                                                                   {"address", R"("127.0.0.1:1")"},
                                                                   {"zone", R"("here")"},
                                                                   {"version", R"("v1")"},
                                                                   {"slots", "4"},
                                                                   {"state", R"("ready")"},
                                                                   {"coldRemainingMs", "0"},
                                                                   {"sequence", "1"},
                                                                   {"born", "1"}};
    std::string entry = "{\"\":0";
    for (const auto& [key, usual] : members)
    {
        entry += ",\"" + key + "\":" + (key == name ? value : usual);
    }
    return entry + "}";
}

const std::string deep_lists = repeat("[", deep) + repeat("]", deep);
const std::string deep_objects = repeat("{\"a\":", deep) + "1" + repeat("}", deep);

std::vector<std::string> odd_target_entries()
{
    std::vector<std::string> entries{
        "",         "nonsense", "null",     "[]",         "\"text\"",        std::string(3, '\0'),
        "\xff\xfe", "{",        deep_lists, deep_objects, repeat("[", deep), "{\"a\":" + deep_lists + "}"};
    for (const auto* name :
         {"service", "address", "zone", "version", "state", "slots", "coldRemainingMs", "sequence", "born"})
    {
        for (const auto& value : {std::string{"null"}, std::string{"{}"}, std::string{"true"}, deep_lists,
                                  std::string{"1e999"}, std::string{"-1"}, std::string{"1e308"},
                                  std::string{"99999999999999999999999999"}, std::string{R"("")"}})
        {
            entries.push_back(entry_with(name, value));
        }
    }
    for (const auto* address :
         {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999",
          "127.0.0.1:-1", "127.0.0.1:80x", "256.0.0.1:80", "::1:80", "[::1]:80", "host:80", ":80", "0:0",
          "127.0.0.1:80:80", " 127.0.0.1:80"})
    {
        entries.push_back(entry_with("address", "\"" + std::string{address} + "\""));
    }
    return entries;
}

/// @return the configuration with a further route of the plain service
std::string config_with_route(int version)
{
    const auto number = std::to_string(version);
    return R"({"version":)" + number +
           R"(,"routes":[{"name":"tool","host":"h","prefix":"/tool/","type":"non_idempotent","service":"app",)"
           R"("timeoutMs":5000},{"name":"new","host":"h","prefix":"/new-)" +
           number +
           R"(/","type":"non_idempotent","service":"app","timeoutMs":5000}],"services":[{"name":"app"}]})";
}

/// A gateway whose tables others write to as well.
struct shared_tables
{
    shared_tables()
    {
        platform.wait_ready(gateway);
    }

    /// @return whether a change of the configuration takes effect, and the new route is served
    bool follows()
    {
        ++version;
        platform.store.put("op", "config", config_with_route(version));
        const auto path = "/new-" + std::to_string(version) + "/1";
        return eventually(
            [&]
            {
                const auto id = "r" + std::to_string(++requests);
                return platform.send(gateway, path, id).status == 200;
            });
    }

    platform_fixture platform;
    gateway_process gateway{loopback(platform.store.port()), "only"};
    int version = 100;
    int requests = 0;
};

} // namespace

// Guards against: one odd entry among those of the targets ends the gateways that read the list, or stops
// them from following it.
TEST_CASE("a gateway goes on following its tables after each odd entry of a target")
{
    shared_tables world;
    for (const auto& entry : odd_target_entries())
    {
        CAPTURE(entry.substr(0, 200));
        world.platform.store.put("servers", "i-odd", entry);
        REQUIRE(world.follows());
    }
}

TEST_CASE("a gateway starts and follows its tables beside all odd entries of targets at once")
{
    platform_fixture platform;
    const auto entries = odd_target_entries();
    for (std::size_t n = 0; n < entries.size(); ++n)
    {
        platform.store.put("servers", "i-odd-" + std::to_string(n), entries[n]);
    }
    gateway_process gateway{loopback(platform.store.port()), "only"};
    platform.wait_ready(gateway);
    CHECK(eventually([&] { return platform.send(gateway, "/tool/1", "r1").status == 200; }));
}

// Guards against: a configuration that is nested deep exhausts the stack of each gateway that reads it.
TEST_CASE("a gateway goes on following its tables after each odd row of a configuration")
{
    shared_tables world;
    const std::string begin = R"({"version":90,"routes":[],"services":[],)";
    std::vector<std::string> rows{"", "nonsense", "[]", "{}", deep_lists, deep_objects};
    for (const std::string name : {"limits", "tenants", "routes", "services", "version"})
    {
        for (const auto& value : {deep_lists, deep_objects, std::string{"7"}, std::string{"null"},
                                  std::string{"[{}]"}, std::string{R"([{"name":1}])"}, std::string{"1e999"}})
        {
            rows.push_back(begin);
            rows.back().append("\"").append(name).append("\":").append(value).append("}");
        }
    }
    rows.push_back(begin + R"("tenants":[{"name":)" + deep_lists + "}]}");
    rows.push_back(begin + R"("tenants":[{"name":"w","apiKeys":)" + deep_lists + "}]}");
    for (const auto& row : rows)
    {
        CAPTURE(row.substr(0, 200));
        world.platform.store.put("op", "config", row);
        REQUIRE(world.follows());
    }
}

TEST_CASE("a gateway goes on beside odd rows in the tables that gateways write")
{
    shared_tables world;
    for (const auto* table : {"gateways", "overdraft", "quota", "turns", "spending", "status"})
    {
        for (const auto& value :
             {std::string{}, std::string{"nonsense"}, deep_lists, deep_objects,
              std::string{"127.0.0.1:99999 1 here"}, std::string{"x 1e999 y"}, repeat("\x81", deep),
              std::string{R"({"buckets":[],"renewals":)"} + deep_objects + "}"})
        {
            CAPTURE(table);
            CAPTURE(value.substr(0, 200));
            world.platform.store.put(table, "odd", value);
            REQUIRE(world.follows());
        }
    }
}

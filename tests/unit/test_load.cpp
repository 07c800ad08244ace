// Unit tests of load plans and load reports.
#include "../../src/cli/load_plan.hpp"
#include "../../src/cli/load_report.hpp"

#include "masticcourse/settings/settings.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

using namespace masticcourse;
using namespace masticcourse::detail;
using namespace std::chrono_literals;

namespace
{

deployment_settings read_deployment(const char* name)
{
    auto result = read_settings(std::string{MASTICCOURSE_SOURCE_DIR} + "/deploy/" + name + ".toml");
    REQUIRE(std::holds_alternative<deployment_settings>(result));
    return std::get<deployment_settings>(std::move(result));
}

std::size_t count_turns(const std::vector<planned_turn>& turns, call_kind kind)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        turns, [&](const planned_turn& it) { return it.sub_agent.empty() && it.kind == kind; }));
}

} // namespace

TEST_CASE("plans are equal for equal seeds and differ for different ones")
{
    const auto settings = read_deployment("urad");
    const auto inputs_of = [&](std::uint64_t seed)
    {
        std::vector<std::string> inputs;
        for (const auto& it : plan_load(settings, {.rate = 5, .duration = 20s, .seed = seed}))
        {
            inputs.push_back(std::to_string(it.start.count()) + it.turns.front().input);
        }
        return inputs;
    };
    CHECK(inputs_of(1) == inputs_of(1));
    CHECK(inputs_of(1) != inputs_of(2));
}

TEST_CASE("a plan follows the workload mix of the customer")
{
    std::vector<std::size_t> turns_by_customer;
    for (const auto* name : {"atlas-voie-verte", "urad"})
    {
        const auto settings = read_deployment(name);
        const auto programs = plan_load(settings, {.rate = 20, .duration = 100s});
        // The expected value is 2,000. The seed is fixed, so the test is deterministic.
        CHECK(programs.size() > 1800);
        CHECK(programs.size() < 2200);
        CHECK(std::ranges::is_sorted(programs, {}, &planned_program::start));
        CHECK(programs.back().start < 100s);
        std::size_t models = 0;
        std::size_t tools = 0;
        bool sub_agents = false;
        for (const auto& it : programs)
        {
            models += count_turns(it.turns, call_kind::model);
            tools += count_turns(it.turns, call_kind::tool);
            sub_agents = sub_agents || std::ranges::any_of(it.turns, [](const auto& turn)
                                                           { return !turn.sub_agent.empty(); });
            CHECK(it.turns.front().pause == 0ms);
            CHECK(it.budget == settings.workspaces[it.workspace].max_budget);
        }
        CHECK(sub_agents);
        turns_by_customer.push_back(models + tools);
        CHECK(tools > models / 5);
        CHECK(tools < models);
    }
    // Dialogues of claimants (urad) are longer than plans of foremen (atlas-voie-verte).
    CHECK(turns_by_customer.back() > turns_by_customer.front());
}

TEST_CASE("pauses are multiplied by pause_scale")
{
    const auto settings = read_deployment("urad");
    const auto programs = plan_load(settings, {.rate = 5, .duration = 20s, .pause_scale = 0});
    for (const auto& it : programs)
    {
        CHECK(std::ranges::all_of(it.turns, [](const auto& turn) { return turn.pause == 0ms; }));
    }
}

TEST_CASE("quantile_of returns the nearest rank")
{
    std::vector<std::chrono::milliseconds> values;
    for (int n = 100; n >= 1; --n)
    {
        values.emplace_back(n);
    }
    struct row
    {
        double q;
        std::chrono::milliseconds value;
    };
    constexpr std::array table{row{0, 1ms}, row{0.5, 50ms}, row{0.95, 95ms}, row{0.99, 99ms}, row{1, 100ms}};
    for (const auto& it : table)
    {
        CHECK(quantile_of(values, it.q) == it.value);
    }
    CHECK_FALSE(quantile_of({}, 0.5));
}

TEST_CASE("a report contains latencies by service class and the share of wasted tokens")
{
    const load_report report{
        .counts = {.programs_finished = 2, .seen_tokens = 200, .wasted_tokens = 50},
        .samples = {{service_class::assistance, 10ms}, {service_class::background, 30ms}}};
    CHECK(wasted_share(report.counts) == 0.25);
    CHECK(wasted_share({}) == 0);
    const auto document = nlohmann::json::parse(report_json(report));
    CHECK(document.at("latency_ms").at("all").at("p99") == 30);
    CHECK(document.at("latency_ms").at("assistance").at("p50") == 10);
    CHECK(document.at("latency_ms").at("standard").at("p50").is_null());
    CHECK(document.at("wasted_share") == 0.25);
    CHECK(report_table(report).find("25.0%") != std::string::npos);
}

// Placement by expected finish: unequal and changing speeds, queues, cached prompts, failure domains, and
// many gateways with the same outdated view; also which targets are assumed to have a prompt cached.
#include "masticcourse/gateway/scheduling/prompt_locations.hpp"
#include "masticcourse/gateway/scheduling/target_ranking.hpp"
#include "support/test_seed.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1'000s};
constexpr std::uint32_t slots = 6;
/// An engine that reads 168 prompt tokens per ms.
constexpr placement_costs engine_costs{.first_event = 10ms,
                                       .prefill_token = 6us,
                                       .output_token = 2'270us,
                                       .cross_domain = 2ms,
                                       .typical_duration = 500ms};
constexpr placement_costs plain_costs{.response = 20ms, .cross_domain = 1ms};

/// The targets of a service with the estimates of one gateway.
struct fleet
{
    explicit fleet(std::size_t count, std::size_t domains = 1)
    {
        targets.resize(count);
        for (std::size_t n = 0; n < count; ++n)
        {
            targets[n].record = {.id = {"engine-" + std::to_string(n)},
                                 .domain = {"d" + std::to_string(n % domains)},
                                 .slots = slots};
            estimates.push_back({.entry = &targets[n]});
        }
    }

    std::size_t index_of(const target* it) const
    {
        return static_cast<std::size_t>(it - targets.data());
    }

    std::size_t choose(const placement_request& request, const placement_costs& costs = engine_costs) const
    {
        return index_of(choose_by_finish(estimates, request, costs)->entry);
    }

    void set_cached(const cached_prefixes& cached)
    {
        for (auto& it : estimates)
        {
            it.cached_tokens = cached.at(it.entry->record.instance());
        }
    }

    std::vector<target> targets;
    std::vector<target_estimate> estimates;
};

/// Load, time factor and cached tokens of one target.
struct state
{
    double load = 0;
    double time_factor = 1;
    token_count cached = 0;
};

placement_request turn_of(std::string_view program, token_count prompt = 10'000, token_count output = 200)
{
    return {.prompt_tokens = prompt, .expected_output = output, .affinity = program, .chooser = "g"};
}

placement_request plain_request(std::string_view gateway, const std::string& domain = "d0")
{
    return {.chooser = gateway, .preferred_domain = {domain}};
}

} // namespace

TEST_CASE("the target with the earliest finish is chosen, whatever the affinity prefers")
{
    struct row
    {
        const char* name;
        std::vector<state> targets;
        std::size_t chosen;
        std::optional<token_count> shared = {};
    };
    const std::array table{
        row{"unequal speeds", {{.time_factor = 1.7}, {.time_factor = 0.7}}, 1},
        row{"slow phase", {{.time_factor = 2.5}, {.load = 4}}, 1},
        row{"idle and slow, against fast with a free slot", {{.time_factor = 2}, {.load = 5}}, 1},
        row{"idle and slow, against fast with a long queue", {{.time_factor = 2}, {.load = 14}}, 0},
        row{"shorter queue", {{.load = 9}, {.load = 7}}, 1},
        row{"free slot against queue", {{.load = 5}, {.load = 7}}, 0},
        row{"cached prompt", {{}, {.cached = 9'000}, {}}, 1},
        row{"cached prompt at a busier target", {{}, {.load = 4, .cached = 9'000}}, 1},
        row{"cached prompt against a long wait", {{}, {.load = 11, .cached = 9'000}}, 0},
        row{"cached prompt at a target of half the speed", {{}, {.time_factor = 2, .cached = 10'000}}, 0},
        row{"longer of two cached prefixes", {{.cached = 9'500}, {.cached = 2'000}}, 0},
        row{"session at a slower target", {{}, {.time_factor = 1.5, .cached = 9'000}}, 1, 8'000},
        row{"session at a target of half the speed", {{}, {.time_factor = 2, .cached = 10'000}}, 0, 8'000},
        row{"shared parts whose prefill delays others",
            {{}, {.time_factor = 1.3, .cached = 8'000}},
            1,
            8'000},
        row{"shared parts at a slower target", {{}, {.time_factor = 1.5, .cached = 8'000}}, 0, 8'000},
        row{"factor that is no number of use", {{.time_factor = 0, .cached = 1}, {.load = 14}}, 0},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        fleet targets(it.targets.size());
        for (std::size_t n = 0; n < it.targets.size(); ++n)
        {
            targets.estimates[n].load = it.targets[n].load;
            targets.estimates[n].time_factor = it.targets[n].time_factor;
            targets.estimates[n].cached_tokens = it.targets[n].cached;
        }
        for (const auto* program : {"a", "b", "c", "d", "e", "f"})
        {
            auto turn = turn_of(program);
            turn.shared_tokens = it.shared;
            CHECK(targets.choose(turn) == it.chosen);
        }
    }
    CHECK_FALSE(choose_by_finish({}, turn_of("a"), engine_costs));
}

TEST_CASE("the wait grows with the queue and with the time factor, and is zero while a slot is free")
{
    fleet targets(1);
    auto& it = targets.estimates[0];
    const auto wait_at = [&](double load, double time_factor = 1)
    {
        it.load = load;
        it.time_factor = time_factor;
        return expected_wait(it, turn_of("a"), engine_costs);
    };
    CHECK(wait_at(5) == 0ms);
    CHECK(wait_at(6) > 0ms);
    // A queue as long as the batch takes a duration more.
    CHECK(wait_at(12) - wait_at(6) == 500ms);
    CHECK(wait_at(8, 3) / 3 == wait_at(8));
    targets.targets[0].record.slots = 1;
    CHECK(wait_at(1) == 250ms);
    CHECK(wait_at(2) == 750ms);
}

TEST_CASE("load decides while no durations are known")
{
    fleet targets(2);
    targets.estimates[0].load = 12;
    CHECK(targets.choose(turn_of("a"), {}) == 1);
    CHECK(targets.choose(plain_request("g"), {}) == 1);
    targets.estimates[0].load = 0;
    targets.estimates[1].time_factor = 4;
    CHECK(targets.choose(turn_of("a"), {}) == 0);
}

TEST_CASE("turns of one program meet at the same target, different programs spread")
{
    // Two gateways whose views of the loads differ by up to two requests.
    fleet one(38);
    fleet other(38);
    for (std::size_t n = 0; n < one.targets.size(); ++n)
    {
        one.estimates[n].load = static_cast<double>(n % 3);
        other.estimates[n].load = static_cast<double>((n + 1) % 3);
    }
    for (const auto age : {0ms, 200ms})
    {
        std::size_t met = 0;
        std::set<std::size_t> used;
        constexpr std::size_t programs = 400;
        for (std::size_t n = 0; n < programs; ++n)
        {
            const auto program = "program-" + std::to_string(n);
            auto turn = turn_of(program);
            turn.view_age = age;
            const auto chosen = one.choose(turn);
            met += chosen == other.choose(turn) ? 1 : 0;
            used.insert(chosen);
        }
        CAPTURE(age.count());
        CHECK(met > programs * 8 / 10);
        CHECK(used.size() == one.targets.size());
    }
}

TEST_CASE("a sub-agent starts where its parent's prompt is cached, unless it would wait there")
{
    fleet targets(20);
    prompt_locations locations(100);
    const std::vector<prompt_part> parent{{"tools", 2'000}, {"parent", 10'000}};
    locations.record(targets.targets[7].record.instance(), parent, 200, start);
    const std::vector<prompt_part> child{{"tools", 2'000}, {"parent", 10'000}, {"child", 300}};
    targets.set_cached(locations.find(child, start + 1s));
    CHECK(targets.choose(turn_of("p.1", 12'300)) == 7);
    targets.estimates[7].load = 5;
    CHECK(targets.choose(turn_of("p.1", 12'300)) == 7);
    targets.estimates[7].load = 9;
    CHECK(targets.choose(turn_of("p.1", 12'300)) != 7);
}

TEST_CASE("a prefix shared by all programs does not make the target that has it cached a hot one")
{
    fleet targets(12);
    prompt_locations locations(1'000);
    const prompt_part shared{"tools", 8'000};
    locations.record(targets.targets[0].record.instance(), std::array{shared}, 0, start);
    // Half of the slots are needed.
    for (std::size_t n = 0; n < targets.targets.size() * slots / 2; ++n)
    {
        const auto program = "program-" + std::to_string(n);
        const std::vector<prompt_part> prompt{shared, {program, 500}};
        targets.set_cached(locations.find(prompt, start));
        auto turn = turn_of(program, 8'500);
        turn.shared_tokens = shared.tokens;
        auto& chosen = targets.estimates[targets.choose(turn)];
        locations.record(chosen.entry->record.instance(), prompt, 0, start);
        chosen.load += 1;
    }
    const auto busiest = std::ranges::max_element(targets.estimates, {}, &target_estimate::load);
    CHECK(busiest->load <= slots);
}

TEST_CASE("requests to a plain service stay in their domain and at few targets until these fill up")
{
    fleet targets(20, 5);
    std::set<std::size_t> used;
    // Requests one after another use the same target, and gateways use different ones.
    for (int n = 0; n < 30; ++n)
    {
        const auto gateway = "g" + std::to_string(n);
        const auto chosen = targets.choose(plain_request(gateway), plain_costs);
        CHECK(targets.targets[chosen].record.domain.value == "d0");
        CHECK(targets.choose(plain_request(gateway), plain_costs) == chosen);
        used.insert(chosen);
    }
    CHECK(used.size() == 4);
    // The domain gets more requests than its four targets can run: none of them gets a queue.
    std::size_t spilled = 0;
    for (std::size_t n = 0; n < std::size_t{5} * slots; ++n)
    {
        const auto chosen = targets.choose(plain_request("g"), plain_costs);
        targets.estimates[chosen].load += 1;
        spilled += chosen % 5 != 0 ? 1 : 0;
    }
    CHECK(std::ranges::all_of(targets.estimates, [](const auto& it) { return it.load <= slots; }));
    CHECK(spilled >= slots);
    CHECK(spilled <= 3 * slots);
}

namespace
{

/// Gateways that place five requests each at the same time with the same view, which is 300 ms old.
struct herd
{
    std::size_t gateways;
    /// Whether all targets but a tenth are full in the view. Most of these requests have ended meanwhile.
    bool full = false;
    /// Whether a third of the targets each are fast and slow.
    bool unequal = false;
    bool plain = false;
    /// Maximum load of a target after all, in batches. Hashing alone gives about 1.5.
    double max_batches = 2;
    /// Maximum fraction of the requests that find no free slot.
    double max_queued = 0.05;
};

placement_request herd_request(const herd& it, const std::string& gateway, const std::string& program)
{
    auto request = it.plain ? plain_request(gateway, gateway.substr(0, 2)) : turn_of(program);
    request.view_age = 300ms;
    // Without a number, as many requests are assumed as have ended according to the view.
    const bool informed = !it.plain || !it.full;
    request.unseen_requests = informed ? static_cast<double>(it.gateways - 1) * 5 : 0;
    return request;
}

/// @return the loads of the targets after all gateways have placed their requests
std::vector<double> place(const herd& it)
{
    fleet view(it.gateways * 3 / 2, 5);
    constexpr std::array factors{0.7, 1.0, 1.7};
    // Engines run requests for 500 ms.
    const double remaining = it.plain ? 0 : 0.4;
    std::vector<double> loads;
    for (std::size_t n = 0; n < view.targets.size(); ++n)
    {
        view.estimates[n].load = it.full && n % 10 != 0 ? slots : 0;
        view.estimates[n].time_factor = it.unequal ? factors[n % factors.size()] : 1.0;
        loads.push_back(view.estimates[n].load * remaining);
    }
    for (std::size_t gateway = 0; gateway < it.gateways; ++gateway)
    {
        auto own = view.estimates;
        const auto name = "d" + std::to_string(gateway % 5) + "-" + std::to_string(gateway);
        for (const auto* turn : {"a", "b", "c", "d", "e"})
        {
            const auto request = herd_request(it, name, name + turn);
            const auto chosen =
                view.index_of(choose_by_finish(own, request, it.plain ? plain_costs : engine_costs)->entry);
            own[chosen].load += 1;
            view.targets[chosen].in_flight += 1;
            loads[chosen] += 1;
        }
        std::ranges::for_each(view.targets, [](auto& target) { target.in_flight = 0; });
    }
    return loads;
}

} // namespace

TEST_CASE("gateways with the same outdated view don't overfill a target")
{
    for (const std::size_t gateways : {26U, 127U, 625U})
    {
        const std::array table{
            herd{.gateways = gateways},
            herd{.gateways = gateways, .full = true, .max_batches = 2.5, .max_queued = 0.25},
            herd{.gateways = gateways, .unequal = true, .max_batches = 3, .max_queued = 0.25},
            // The fast targets finish requests earlier than slow ones even if these must wait there.
            herd{.gateways = gateways, .full = true, .unequal = true, .max_batches = 3.5, .max_queued = 0.45},
        };
        for (auto it : table)
        {
            for (const bool plain : {false, true})
            {
                it.plain = plain;
                const auto loads = place(it);
                const double queued =
                    std::transform_reduce(loads.begin(), loads.end(), 0.0, std::plus<>{},
                                          [](double load) { return std::max(load - slots, 0.0); });
                INFO(gateways, " gateways, full ", it.full, ", unequal ", it.unequal, ", plain ", plain);
                CHECK(std::ranges::max(loads) <= it.max_batches * slots);
                CHECK(queued <= it.max_queued * 5 * static_cast<double>(gateways));
            }
        }
    }
}

TEST_CASE("random: no target is chosen whose finish is later by more than uncertainty and cache are worth")
{
    std::mt19937 random{test_seed().value};
    const auto pick = [&](double low, double high) {
        return std::uniform_real_distribution{low, high}(random);
    };
    for (int n = 0; n < 2'000; ++n)
    {
        fleet targets(1 + random() % 50, 3);
        auto request = turn_of("p" + std::to_string(n), static_cast<token_count>(pick(0, 30'000)),
                               static_cast<token_count>(pick(1, 1'000)));
        request.preferred_domain = {"d0"};
        request.shared_tokens = static_cast<token_count>(pick(0, 20'000));
        if (n % 3 == 0)
        {
            request.affinity = {};
        }
        token_count most_cached = 0;
        for (auto& it : targets.estimates)
        {
            it.load = std::floor(pick(0, 16));
            it.time_factor = pick(0.5, 4);
            it.cached_tokens = random() % 8 == 0 ? static_cast<token_count>(pick(0, 30'000)) : 0;
            it.cached_tokens = std::min(it.cached_tokens, request.prompt_tokens);
            most_cached = std::max(most_cached, it.cached_tokens);
        }
        const auto chosen = choose_by_finish(targets.estimates, request, engine_costs);
        const auto cached = targets.estimates[targets.index_of(chosen->entry)].cached_tokens;
        const bool at_session = cached == most_cached && cached > *request.shared_tokens;
        CAPTURE(n);
        for (auto it : targets.estimates)
        {
            // The uncertainty is half a request at the target and 15% of its finish; the cache is worth
            // up to twice the time of recomputing it, at most 0.3 of the finish, and for the session half of
            // it.
            it.load += 0.5;
            const auto finish = expected_finish(it, request, engine_costs);
            const auto recomputed = std::max<token_count>(most_cached - it.cached_tokens, 0);
            const auto worth =
                std::min(2 * it.time_factor * (recomputed * engine_costs.prefill_token), finish * 0.3);
            CHECK(chosen->expected_finish <= (at_session ? 1.5 : 1.15) * (finish + worth) + 2us);
        }
    }
}

TEST_CASE("cached prompts: only from the start on, only at the same instance, only for some seconds")
{
    const target_instance engine{{"engine"}, wall_time{1s}};
    const target_instance restarted{{"engine"}, wall_time{2s}};
    const target_instance other{{"other"}, wall_time{1s}};
    prompt_locations locations(100);
    const prompt_part tools{"tools", 2'000};
    const prompt_part session{"session", 1'000};
    locations.record(engine, std::array{tools, session}, 100, start);
    struct row
    {
        const char* name;
        target_instance target;
        std::vector<prompt_part> prompt;
        token_count cached;
        duration age = 1s;
    };
    const std::array table{
        row{"turn that has grown by more than the output", engine, {tools, {"session", 1'500}}, 3'100},
        row{"branch of the session", engine, {tools, {"session", 400}, {"child", 50}}, 2'400},
        row{"gap", engine, {{"unknown", 10}, session}, 0},
        row{"without the first part", engine, {session}, 0},
        row{"part that has grown, then one more", engine, {{"tools", 2'500}, session}, 2'000},
        row{"other program", engine, {tools, {"session 2", 1'000}}, 2'000},
        row{"other target", other, {tools, session}, 0},
        row{"restarted target", restarted, {tools, session}, 0},
        row{"evicted", engine, {tools, session}, 0, 10s},
        row{"no prompt", engine, {}, 0},
    };
    for (const auto& it : table)
    {
        CAPTURE(it.name);
        CHECK(locations.cached_tokens(it.target, it.prompt, start + it.age) == it.cached);
        CHECK(locations.find(it.prompt, start + it.age).at(it.target) == it.cached);
    }
    // The new instance replaces the old one.
    locations.record(restarted, std::array{prompt_part{"tools", 500}}, 0, start + 1s);
    CHECK(locations.cached_tokens(restarted, std::array{tools}, start + 1s) == 500);
    CHECK(locations.cached_tokens(engine, std::array{tools}, start + 1s) == 0);
}

TEST_CASE("the memory of prompt locations is bounded, and the parts in use are kept")
{
    prompt_locations locations(50);
    const target_instance engine{{"engine"}, {}};
    const prompt_part shared{"tools", 1'000};
    for (int n = 0; n < 10'000; ++n)
    {
        const std::vector<prompt_part> prompt{shared, {"s" + std::to_string(n), 10}};
        locations.record(engine, prompt, 0, start);
        CHECK(locations.cached_tokens(engine, prompt, start) == 1'010);
    }
    CHECK(locations.size() == 50);
    // A prompt of more parts than are remembered.
    const std::vector<prompt_part> endless(10'000, {"x", 1});
    locations.record(engine, endless, 0, start);
    CHECK(locations.size() == 50);
    CHECK(locations.find(endless, start).at(engine) > 0);
}

TEST_CASE("a part at more targets than are remembered counts as cached everywhere, until it isn't used")
{
    prompt_locations locations(10);
    const std::array prompt{prompt_part{"tools", 1'000}};
    const target_instance unknown{{"unknown"}, {}};
    for (int n = 0; n < 6; ++n)
    {
        locations.record({{"e" + std::to_string(n)}, {}}, prompt, 0, start);
        CHECK(locations.cached_tokens(unknown, prompt, start) == 0);
    }
    locations.record({{"e6"}, {}}, prompt, 0, start + 1s);
    CHECK(locations.cached_tokens(unknown, prompt, start + 1s) == 1'000);
    CHECK(locations.find(prompt, start + 1s).at(unknown) == 1'000);
    CHECK(locations.cached_tokens(unknown, prompt, start + 6s) == 0);
}

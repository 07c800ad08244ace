// Tokens delivered before a spending row records them never exceed the maximum of one turn per program, on
// any combination of gateways, lost messages and restarts.
#include "support/forwarding_world.hpp"
#include "support/memory_rows.hpp"
#include "support/test_seed.hpp"
#include "support/virtual_time.hpp"

#include "masticcourse/gateway/overdraft.hpp"
#include "masticcourse/gateway/partition.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace masticcourse::gateway;
using namespace masticcourse::testing;
using namespace std::chrono_literals;

namespace
{

/// Gateways of one site that can call each other, each with its own connection to the store.
class gateway_group
{
  public:
    struct member
    {
        member(gateway_group& group, const std::string& address, const std::string& incarnation)
            : store(group.rows, group.time.delays()),
              peers({.address = address}, derive_seed(test_seed(), incarnation)),
              buckets(overdraft_ownership_terms(), store, peers, {address, incarnation}, group.time.delays(),
                      group.time.clock(), group.time.clock(), derive_seed(test_seed(), incarnation)),
              overdrafts(
                  buckets,
                  [&group](const auto& to, auto message, auto on_reply)
                  { group.call(to, message, on_reply); },
                  group.time.clock())
        {
            buckets.start();
        }

        memory_store store;
        peer_directory peers;
        bucket_ownership buckets;
        overdraft overdrafts;
    };

    explicit gateway_group(std::size_t count, milliseconds startup_time = 20s)
    {
        for (std::size_t n = 0; n < count; ++n)
        {
            start("g" + std::to_string(n));
        }
        time.run(startup_time);
    }

    /// @return calls made to the store so far
    [[nodiscard]] std::size_t calls() const
    {
        std::size_t n = 0;
        std::ranges::for_each(members, [&n](const auto& it)
                              { n += it.second->store.queries + it.second->store.writes; });
        return n;
    }

    /// Starts a new incarnation on a VM, stopping the one that runs there.
    member& start(const std::string& address)
    {
        stop(address);
        members[address] = std::make_unique<member>(*this, address, std::to_string(++incarnations_started));
        list_peers();
        return *members[address];
    }

    /// Stops the incarnation on a VM, if there is one. The object stays alive, since timers still refer to
    /// it.
    void stop(const std::string& address)
    {
        if (const auto it = members.find(address); it != members.end())
        {
            stopped.push_back(std::move(it->second));
            members.erase(it);
            list_peers();
        }
    }

    void call(const std::string& to, const std::string& message,
              const std::function<void(std::optional<std::string>)>& on_reply)
    {
        const auto it = members.find(to);
        on_reply(it != members.end() && !unreachable.contains(to) ? it->second->overdrafts.serve(message)
                                                                  : std::nullopt);
    }

    token_count draw(const std::string& at, const std::string& program, const std::string& request,
                     token_count max_tokens = 100)
    {
        token_count granted = -1;
        members.at(at)->overdrafts.draw({program}, {request}, max_tokens,
                                        [&](token_count it) { granted = it; });
        return granted;
    }

    [[nodiscard]] std::vector<std::string> holders(std::size_t bucket) const
    {
        std::vector<std::string> found;
        for (const auto& [address, it] : members)
        {
            if (it->buckets.may_use(bucket))
            {
                found.push_back(address);
            }
        }
        return found;
    }

    void list_peers()
    {
        std::vector<peer> list;
        std::ranges::transform(members, std::back_inserter(list),
                               [](const auto& it) { return peer{.address = it.first}; });
        std::ranges::for_each(members, [&](const auto& it) { it.second->peers.set(list); });
    }

    virtual_time time;
    row_table rows;
    std::map<std::string, std::unique_ptr<member>> members;
    std::vector<std::unique_ptr<member>> stopped;
    std::set<std::string> unreachable;
    int incarnations_started = 0;
};

} // namespace

TEST_CASE("the tokens outstanding for a program never exceed the smallest maximum of its turns")
{
    constexpr time_point now{1'000s};
    overdraft_ledger ledger;
    CHECK(ledger.draw({"p"}, {"a"}, 100, now) == 100);
    CHECK(ledger.draw({"p"}, {"a"}, 100, now) == 100);
    CHECK(ledger.draw({"p"}, {"b"}, 100, now) == 0);
    CHECK(ledger.draw({"q"}, {"c"}, 100, now) == 100);
    ledger.settle({"p"}, {"a"}, 30);
    CHECK(ledger.draw({"p"}, {"b"}, 100, now) == 70);
    ledger.settle({"p"}, {"b"}, 0);
    // The smallest maximum of any turn bounds all turns of the program.
    CHECK(ledger.draw({"p"}, {"d"}, 50, now) == 20);
    CHECK(ledger.draw({"p"}, {"e"}, 100, now) == 0);
    ledger.clear({"p"}, {"a"});
    CHECK(ledger.draw({"p"}, {"e"}, 100, now) == 30);
    ledger.clear({"p"}, {"d"});
    ledger.clear({"p"}, {"e"});
    ledger.clear({"q"}, {"c"});
    CHECK(ledger.empty(overdraft_bucket_of("p")));
    // Ending a turn twice, or one that never drew, has no effect.
    ledger.settle({"p"}, {"a"}, 30);
    ledger.clear({"p"}, {"a"});
    CHECK(ledger.empty(overdraft_bucket_of("p")));
    CHECK(ledger.draw({"p"}, {"a"}, 0, now) == 0);
}

TEST_CASE("ownership rows and overdraft messages round-trip, and malformed ones are rejected")
{
    ownership_row row{.buckets = bucket_table(overdraft_bucket_count)};
    row.buckets[3] = gateway_incarnation{"10.0.0.1:7380", "17"};
    CHECK(decode_ownership(encode_ownership(row), overdraft_bucket_count) == row);
    for (const auto* text : {"", "[]", "{}", "[1]", "null"})
    {
        CHECK_FALSE(decode_ownership(text, overdraft_bucket_count));
    }
    const overdraft_message message{overdraft_operation::settle, {"p"}, {"r"}, 7};
    const auto read = decode_overdraft(encode(message));
    REQUIRE(read);
    CHECK(read->operation == message.operation);
    CHECK(read->tokens == 7);
    CHECK(decode_grant(encode_grant(286)) == 286);
    CHECK_FALSE(decode_grant("286"));
    for (const auto* text :
         {"", "[]", R"([3,"p","r",1])", R"([-1,"p","r",1])", R"([0,1,"r",1])", R"([0,"p","r","1"])",
          R"([0,"p","r",1.5])", R"([0,"p","r",true])", R"([0.5,"p","r",1])"})
    {
        CAPTURE(text);
        CHECK_FALSE(decode_overdraft(text));
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({nlohmann::json::parse(text, nullptr, false)}), bytes);
        CHECK_FALSE(decode_overdraft(bytes));
    }
}

TEST_CASE("buckets are distributed evenly among the gateways, each held by exactly one")
{
    for (const std::size_t count : {1U, 7U, 34U})
    {
        CAPTURE(count);
        const gateway_group group(count);
        std::map<std::string, std::size_t> held;
        for (std::size_t bucket = 0; bucket < overdraft_bucket_count; ++bucket)
        {
            const auto holders = group.holders(bucket);
            REQUIRE(holders.size() == 1);
            ++held[holders.front()];
        }
        const auto max_held =
            std::ranges::max_element(held, {}, [](const auto& it) { return it.second; })->second;
        CHECK(max_held <= (overdraft_bucket_count + count - 1) / count);
    }
}

// Load pattern: all gateways of a site start together and all take their share from the one row.
TEST_CASE("the calls to the row of buckets stay below a partition's rate limit for any number of gateways")
{
    for (const std::size_t count : {10U, 100U, 400U})
    {
        CAPTURE(count);
        gateway_group group(count, 0s);
        std::size_t before = 0;
        for (int second = 0; second < 40; ++second)
        {
            group.time.run(1s);
            const auto calls = group.calls();
            // In the first second every gateway reads the row; later accesses are spread out.
            constexpr std::size_t partition_rate = 150;
            CHECK((second == 0 || calls - before < partition_rate));
            before = calls;
        }
        for (std::size_t bucket = 0; bucket < overdraft_bucket_count; ++bucket)
        {
            CHECK(group.holders(bucket).size() == 1);
        }
    }
}

TEST_CASE("any gateway gets a program's overdraft from its holder without the store, once for all gateways")
{
    gateway_group group(7);
    std::ranges::for_each(group.members, [](auto& it) { it.second->store.mode = store_mode::unresponsive; });
    CHECK(group.draw("g0", "p", "a") == 100);
    CHECK(group.draw("g1", "p", "b") == 0);
    group.members.at("g0")->overdrafts.settle({"p"}, {"a"}, 25);
    CHECK(group.draw("g2", "p", "b") == 75);
    group.members.at("g2")->overdrafts.clear({"p"}, {"b"});
    CHECK(group.draw("g3", "p", "c") == 75);
    SUBCASE("no overdraft is granted if the holder does not answer")
    {
        const auto holder = group.holders(overdraft_bucket_of("q")).front();
        group.unreachable.insert(holder);
        CHECK(group.draw(holder == "g0" ? "g1" : "g0", "q", "d") == 0);
        CHECK(group.draw(holder, "q", "d") == 100);
    }
}

TEST_CASE("a bucket of a crashed holder stays unusable until all programs of that time have ended")
{
    gateway_group group(3);
    const auto bucket = overdraft_bucket_of("p");
    const auto holder = group.holders(bucket).front();
    CHECK(group.draw(holder, "p", "a") == 100);
    group.start(holder);
    group.time.run(60s);
    CHECK(group.holders(bucket).empty());
    for (const auto* at : {"g0", "g1", "g2"})
    {
        CHECK(group.draw(at, "p", "b") == 0);
    }
    group.time.run(600s);
    CHECK(group.holders(bucket) == std::vector{holder});
}

TEST_CASE("a leaving gateway releases its buckets once nothing is outstanding, and others take them")
{
    gateway_group group(3);
    const auto bucket = overdraft_bucket_of("p");
    const auto holder = group.holders(bucket).front();
    auto& leaving = *group.members.at(holder);
    CHECK(group.draw(holder, "p", "a") == 100);
    leaving.buckets.leave([&leaving](std::size_t it) { return leaving.overdrafts.idle(it); });
    group.time.run(1s);
    CHECK(leaving.buckets.is_holder(bucket));
    CHECK(group.holders(bucket).empty());
    CHECK(group.draw(holder, "p", "c") == 0);
    leaving.overdrafts.clear({"p"}, {"a"});
    group.time.run(1s);
    CHECK_FALSE(leaving.buckets.is_holder(bucket));
    CHECK(leaving.buckets.release_finished());
    group.stop(holder);
    group.time.run(10s);
    CHECK(group.holders(bucket).size() == 1);
    CHECK(group.draw(group.holders(bucket).front(), "p", "d") == 100);
}

TEST_CASE("an ownership row that cannot be decoded gives nobody a bucket and is not overwritten")
{
    gateway_group group(1);
    const auto broken = group.rows.apply({.puts = {{{"overdraft", "buckets"}, "another writer's"}}});
    group.time.run(30s);
    CHECK(group.holders(0).empty());
    CHECK(group.rows.read({.table = "overdraft"}).rows.front().version == broken.version);
}

TEST_CASE(
    "with random draws, losses, partitions, restarts and outages no program exceeds one turn of overdraft")
{
    // The sum counts all tokens granted and not recorded in a row, as seen by the callers. Tokens of turns
    // that were lost with their gateway stay in it.
    CHECK(rc::check(
        [](const std::vector<std::array<std::uint8_t, 4>>& steps)
        {
            constexpr token_count max_tokens = 100;
            gateway_group group(3);
            std::map<std::string, std::map<std::string, token_count>> unrecorded;
            int request_count = 0;
            for (const auto& [action, gateway_index, program_index, variant] : steps)
            {
                const auto at = "g" + std::to_string(gateway_index % 3);
                const auto program = "p" + std::to_string(program_index % 2);
                auto& program_tokens = unrecorded[program];
                switch (action % 6)
                {
                case 0:
                case 1:
                {
                    const auto request = "r" + std::to_string(++request_count);
                    const auto granted =
                        std::max(token_count{0}, group.draw(at, program, request, max_tokens));
                    program_tokens[request] = granted;
                    break;
                }
                case 2:
                    if (!program_tokens.empty())
                    {
                        // A turn ends after delivering a part of its grant.
                        auto& [request, tokens] = *std::next(
                            program_tokens.begin(), variant % static_cast<int>(program_tokens.size()));
                        tokens = tokens * (variant % 4) / 4;
                        group.members.at(at)->overdrafts.settle({program}, {request}, tokens);
                    }
                    break;
                case 3:
                    if (!program_tokens.empty())
                    {
                        const auto it = std::next(program_tokens.begin(),
                                                  variant % static_cast<int>(program_tokens.size()));
                        group.members.at(at)->overdrafts.clear({program}, {it->first});
                        program_tokens.erase(it);
                    }
                    break;
                case 4:
                    variant % 2 == 0 ? static_cast<void>(group.unreachable.insert(at))
                                     : static_cast<void>(group.unreachable.erase(at));
                    group.members.at(at)->store.mode =
                        variant % 3 == 0 ? store_mode::unresponsive : store_mode::available;
                    break;
                default:
                    variant % 3 == 0 ? static_cast<void>(group.start(at))
                                     : group.time.run(std::chrono::seconds{variant % 8});
                    break;
                }
                const auto sum = std::accumulate(program_tokens.begin(), program_tokens.end(), token_count{0},
                                                 [](token_count n, const auto& it) { return n + it.second; });
                RC_ASSERT(sum <= max_tokens);
                for (std::size_t bucket = 0; bucket < overdraft_bucket_count; ++bucket)
                {
                    RC_ASSERT(group.holders(bucket).size() <= 1);
                }
            }
        }));
}

TEST_CASE("while the store is unreachable a stream whose turns are not stored uses its program's overdraft")
{
    forwarding_fixture world;
    world.buckets.start();
    world.time.run(5s);
    world.store.reported_reachable = false;
    world.store.mode = store_mode::refusing;
    const auto view = world.send(world.make_budgeted_request("plan", "a", 250));
    REQUIRE(world.sent.size() == 1);
    world.last()->begin(200);
    world.last()->event(1, "x");
    CHECK(view->text == "id: 1\ndata: x\n\n");
    world.last()->event(2, "x");
    world.last()->end(200);
    CHECK(view->ended);
    SUBCASE("the next turn gets the remaining overdraft and holds back the events beyond it")
    {
        // 80 of 100 tokens are left: eight events of ten tokens.
        const auto next = world.send(world.make_budgeted_request("plan", "b", 250));
        REQUIRE(world.sent.size() == 2);
        world.last()->begin(200);
        for (int n = 1; n <= 9; ++n)
        {
            world.last()->event(n, "y");
        }
        CHECK(next->text.find("id: 8") != std::string::npos);
        CHECK(next->text.find("id: 9") == std::string::npos);
        world.store.reported_reachable = true;
        world.store.mode = store_mode::available;
        world.time.run(500ms);
        CHECK(next->text.find("id: 9") != std::string::npos);
        world.last()->end(200);
        world.time.run(1s);
        CHECK(next->ended);
        CHECK(world.overdrafts.idle(overdraft_bucket_of("p")));
        // 20 + 90 of 250 tokens are charged, so one more turn of 100 fits, but not two.
        std::ignore = world.send(world.make_budgeted_request("plan", "c", 250));
        world.time.run(200ms);
        CHECK(world.sent.size() == 3);
        const auto over = world.send(world.make_budgeted_request("plan", "d", 250));
        world.time.run(200ms);
        CHECK(body_of(*over) == "over_budget");
    }
    SUBCASE("a program with too little overdraft left is refused at once, with a retry-after time")
    {
        std::ignore = world.overdrafts.serve(encode({overdraft_operation::draw, {"p"}, {"other"}, 100}));
        const auto sent = world.sent.size();
        const auto next = world.send(world.make_budgeted_request("plan", "b", 250));
        CHECK(body_of(*next) == "store_away");
        CHECK(find_header(next->response->headers, "retry-after"));
        CHECK(world.sent.size() == sent);
    }
    SUBCASE("turns that are stored wait for the store")
    {
        const auto kept = world.send(world.make_turn_request("t"));
        world.last()->begin(200);
        world.last()->event(1, "z");
        CHECK(kept->text.empty());
    }
}

// Guards against programs that are refused early: events that were held back count against their budget.
TEST_CASE("a turn is charged what its caller got, not what was held back")
{
    forwarding_fixture world;
    world.buckets.start();
    world.time.run(5s);
    world.store.reported_reachable = false;
    world.store.mode = store_mode::refusing;
    std::ignore = world.overdrafts.serve(encode({overdraft_operation::draw, {"p"}, {"other"}, 100}));
    std::ignore = world.overdrafts.serve(encode({overdraft_operation::settle, {"p"}, {"other"}, 50}));
    const auto view = world.send(world.make_budgeted_request("plan", "a", 250));
    REQUIRE(world.sent.size() == 1);
    world.last()->begin(200);
    for (int n = 1; n <= 9; ++n)
    {
        world.last()->event(n, "x");
    }
    CHECK(std::ranges::count(view->text, 'x') == 5);
    view->on_closed();
    world.store.reported_reachable = true;
    world.store.mode = store_mode::available;
    world.time.run(2s);
    const auto row = decode_spending(
        world.rows.read({.table = "spending", .partition = partition_of("p")}).rows.front().value);
    REQUIRE(row);
    CHECK(row->spent == 50);
    CHECK(row->reserved.empty());
}

TEST_CASE("a stream does not wait for a store that is slow to answer")
{
    forwarding_fixture world;
    world.buckets.start();
    world.time.run(5s);
    world.store.mode = store_mode::unresponsive;
    const auto view = world.send(world.make_budgeted_request("stream", "a"));
    world.last()->begin(200);
    world.last()->event(1, "x");
    CHECK(view->text.empty());
    world.time.run(100ms);
    CHECK(view->text == "id: 1\ndata: x\n\n");
}

TEST_CASE("delivered overdraft is charged once the store is back, also beyond the budget, and is no longer "
          "outstanding")
{
    forwarding_fixture world;
    world.buckets.start();
    world.time.run(5s);
    const auto run_turn = [&world](const std::string& id)
    {
        const auto view = world.send(world.make_budgeted_request("plan", id, 110));
        world.time.run(200ms);
        if (!view->response)
        {
            world.last()->begin(200);
            world.last()->event(1, "x");
            world.last()->event(2, "x");
            world.last()->event(3, "x");
            world.last()->end(200);
            world.time.run(200ms);
        }
        return body_of(*view);
    };
    // The row records 30 of 110 tokens as spent, so the budget does not cover another turn of 100.
    CHECK(run_turn("a") == "(no answer)");
    world.time.run(1s);
    world.store.reported_reachable = false;
    world.store.mode = store_mode::refusing;
    CHECK(run_turn("b") == "(no answer)");
    CHECK_FALSE(world.overdrafts.idle(overdraft_bucket_of("p")));
    world.store.reported_reachable = true;
    world.store.mode = store_mode::available;
    world.time.run(2s);
    CHECK(world.overdrafts.idle(overdraft_bucket_of("p")));
    CHECK(run_turn("c") == "over_budget");
    const auto row = decode_spending(
        world.rows.read({.table = "spending", .partition = partition_of("p")}).rows.front().value);
    REQUIRE(row);
    CHECK(row->spent == 60);
    CHECK(row->reserved.empty());
}

TEST_CASE(
    "a leaving gateway grants overdrafts while the store is unreachable, and stops once the store is back")
{
    gateway_group group(2);
    const auto bucket = overdraft_bucket_of("p");
    const auto holder = group.holders(bucket).front();
    auto& leaving = *group.members.at(holder);
    leaving.store.reported_reachable = false;
    leaving.store.mode = store_mode::refusing;
    leaving.buckets.leave([&leaving](std::size_t it) { return leaving.overdrafts.idle(it); });
    group.time.run(1s);
    CHECK(group.draw(holder, "p", "a") == 100);
    leaving.overdrafts.clear({"p"}, {"a"});
    leaving.store.reported_reachable = true;
    // The reply to the release is lost, so the release may still take effect later.
    leaving.store.mode = store_mode::answers_lost;
    group.time.run(1s);
    leaving.store.reported_reachable = false;
    leaving.store.mode = store_mode::refusing;
    CHECK(group.draw(holder, "p", "b") == 0);
}

TEST_CASE("what was charged beyond the budget stays the program's overdraft through any number of outages")
{
    // With two outages and a slow store, a program got 1,287 tokens on a budget of 858 with a maximum of 286
    // per turn.
    forwarding_fixture world;
    world.buckets.start();
    world.time.run(5s);
    token_count delivered = 0;
    for (int n = 0; n < 12; ++n)
    {
        const bool away = n % 3 != 0;
        world.store.reported_reachable = !away;
        world.store.mode = away ? store_mode::refusing : store_mode::available;
        const auto sent = world.sent.size();
        const auto view = world.send(world.make_budgeted_request("plan", "r" + std::to_string(n), 210));
        world.time.run(200ms);
        if (world.sent.size() > sent)
        {
            world.last()->begin(200);
            for (int event = 1; event <= 6; ++event)
            {
                world.last()->event(event, "x");
            }
            world.last()->end(200);
        }
        world.time.run(200ms);
        delivered += 10 * std::ranges::count(view->text, 'x');
        world.store.reported_reachable = true;
        world.store.mode = store_mode::available;
        world.time.run(1s);
    }
    CHECK(delivered <= 210 + 100);
    CHECK(delivered > 210);
}

// The configuration's versions: racing patches, lost answers, and processes that follow.
#include "support/config_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace masticcourse;
using namespace std::chrono_literals;
using standins::faulty_store;
using standins::op_outcome;

namespace
{

config_patch patch(config_version base, const std::string& id)
{
    return {base, id, [id](const std::string&) { return std::optional("\"" + id + "\""); }, {}};
}

struct config_store
{
    core_time now{};
    faulty_store store;

    patch_state run(config_patch& it)
    {
        run_to_completion(it, store, now);
        return it.state();
    }

    /// Accepts so many patches in a row.
    void accept(config_version from, unsigned count)
    {
        for (config_version base = from; base < from + count; ++base)
        {
            auto it = patch(base, "patch of " + std::to_string(base));
            REQUIRE(run(it) == patch_state::accepted);
        }
    }
};

} // namespace

TEST_CASE("one patch of a version is accepted, the others are told which version is in force")
{
    config_store it;
    auto first = patch(0, "a");
    auto second = patch(0, "b");
    // Both have read version 0 before either writes.
    for (auto* each : {&first, &second})
    {
        send_next(*each, it.store, it.now);
        it.store.deliver(0, op_outcome::completed, it.now);
    }
    CHECK(it.run(second) == patch_state::accepted);
    CHECK(it.run(first) == patch_state::conflict);
    CHECK(first.row().version == 1);
    CHECK(first.row().document == "\"b\"");
    auto again = patch(0, "b");
    CHECK(it.run(again) == patch_state::accepted);
}

TEST_CASE("a lost answer is reported as it really went")
{
    struct row
    {
        op_outcome fate;
        unsigned later_patches;
        patch_state state;
    };
    const std::vector<row> table{
        {op_outcome::response_lost, 0, patch_state::accepted},
        {op_outcome::response_lost, 5, patch_state::accepted},
        {op_outcome::response_lost, remembered_patches, patch_state::unknown},
        {op_outcome::request_lost, 0, patch_state::accepted},
        {op_outcome::refused, 0, patch_state::accepted},
    };
    for (const auto& each : table)
    {
        config_store it;
        auto lossy = patch(0, "lossy");
        send_next(lossy, it.store, it.now);
        it.store.deliver(0, op_outcome::completed, it.now);
        send_next(lossy, it.store, it.now);
        CHECK(lossy.may_be_accepted());
        it.store.deliver(0, each.fate, it.now);
        it.accept(1, each.later_patches);
        CHECK(it.run(lossy) == each.state);
    }
}

TEST_CASE("an invalid document is rejected and nothing is written")
{
    config_store it;
    config_patch invalid(0, "x", [](const std::string&) { return std::nullopt; }, {});
    CHECK(it.run(invalid) == patch_state::rejected);
    CHECK(it.store.store().stats().writes == 0);
}

TEST_CASE("a starting process serves only when it knows what is in force")
{
    config_store it;
    it.accept(0, 3);
    const config_tracker_options options{};
    const auto ask_store = [&](config_tracker& tracker, op_outcome fate)
    {
        REQUIRE(send_next(tracker, it.store, it.now));
        it.store.deliver(0, fate, it.now);
    };

    config_tracker by_store(options, 1);
    CHECK_FALSE(by_store.ready());
    ask_store(by_store, op_outcome::completed);
    CHECK(by_store.ready());
    CHECK(by_store.version() == 3);

    // During an outage a peer that serves will do, one that doesn't know either won't.
    config_tracker by_peer(options, 2);
    config_tracker ignorant(options, 3);
    ask_store(by_peer, op_outcome::refused);
    CHECK_FALSE(by_peer.ready());
    CHECK_FALSE(ignorant.answer({}));
    by_peer.on_named({"peer"}, 3, it.now);
    const auto fetch = by_peer.poll_peers(it.now);
    REQUIRE(fetch);
    by_peer.on_peer_reply(*by_store.answer(fetch->request), it.now);
    CHECK(by_peer.ready());
    CHECK(by_peer.document() == by_store.document());

    // An older version is never applied; a newer one that is named makes it ask before it serves on.
    CHECK_FALSE(by_peer.apply(2, "old"));
    by_peer.on_named({"peer"}, 4, it.now);
    CHECK_FALSE(by_peer.ready());
    it.accept(3, 1);
    CHECK(by_peer.poll_peers(it.now));
    // The peer says nothing: after its time the store is asked.
    it.now += 3s;
    ask_store(by_peer, op_outcome::completed);
    CHECK(by_peer.ready());
    CHECK(by_peer.version() == 4);
    CHECK(by_peer.next_wakeup() >= it.now + options.poll_period / 2);
}

TEST_CASE("a version that never was doesn't hold a process up for ever")
{
    config_store it;
    it.accept(0, 1);
    config_tracker tracker({}, 1);
    tracker.on_named({"liar"}, 99, it.now);
    CHECK(tracker.poll_peers(it.now));
    REQUIRE(send_next(tracker, it.store, it.now));
    it.store.deliver(0, op_outcome::completed, it.now);
    CHECK(tracker.ready());
    CHECK(tracker.version() == 1);
}

TEST_CASE("rows survive their encoding")
{
    const config_row row{.version = 4, .document = R"({"a":"ü"})", .patches = {{.id = "x", .version = 4}}};
    CHECK(decode_config_row(encode(row)) == row);
    CHECK_FALSE(decode_config_row(R"({"version":1})"));
}

TEST_CASE("versions only grow, each has one patch, and every process comes to the last one")
{
    CHECK(rc::check("configuration",
                    [](std::uint64_t seed)
                    {
                        core_time now{};
                        faulty_store store;
                        tests::state_oracle oracle;
                        tests::config_world world(store, now, oracle, seed);
                        store.observer = [&](const store_op& op, const store_reply& reply)
                        { world.observe(op, reply); };
                        const auto run = [&](int steps, bool disturbed)
                        {
                            for (int n = 0; n < steps; ++n)
                            {
                                now += std::chrono::milliseconds{seed % 50};
                                world.step(disturbed);
                                world.tick();
                                const auto fate = disturbed && (seed >> (n % 32)) % 3 == 0
                                                      ? static_cast<op_outcome>(
                                                            n % static_cast<int>(standins::op_outcome_count))
                                                      : op_outcome::completed;
                                store.deliver(static_cast<std::size_t>(n), fate, now);
                                store.apply_delayed_request(0, now);
                                if (n % 5 == 0 || !disturbed)
                                {
                                    store.deliver_delayed_response(static_cast<std::size_t>(n));
                                }
                            }
                        };
                        run(500, true);
                        now += 10s;
                        run(500, false);
                        now += 10s;
                        run(500, false);
                        world.check_converged();
                        RC_ASSERT(oracle.violations() == std::vector<std::string>{});
                        RC_ASSERT(world.accepted() > 0U);
                    }));
}

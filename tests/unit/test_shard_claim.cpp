// Who owns a shard: claims, releases and checkpoints, alone and in a random crowd.
#include "support/state_world.hpp"

#include "masticcourse/state/journal_cleaner.hpp"
#include "masticcourse/state/shard_claim.hpp"
#include "masticcourse/state/shard_update.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace masticcourse;
using standins::faulty_store;
using standins::op_outcome;

namespace
{

/// A process reduced to what claims need.
struct small_process
{
    incarnation_id incarnation;
    core_time* now;
    faulty_store* store;
    bool takes = true;
    journal_writer writer{incarnation, {}};
    recovered_journals journals{incarnation, {}};

    shard_claim claim(shard_index shard)
    {
        return {shard,
                {.incarnation = incarnation,
                 .may_take = [this](const shard_row&) { return takes; },
                 .next_index = [this] { return writer.next_index(); }},
                journals};
    }

    /// Runs a claim and the journals that it reads, until it has ended.
    claim_state take(shard_claim& claim)
    {
        constexpr int most_rounds = 1000;
        for (int n = 0; n < most_rounds && claim.state() == claim_state::claiming; ++n)
        {
            run_to_completion(claim, *store, *now);
            run_to_completion(journals, *store, *now);
        }
        return claim.state();
    }

    void write(shard_index shard, epoch_number epoch, const std::string& program)
    {
        writer.append({.shard = shard, .epoch = epoch, .payload = program_ended{{program}}}, *now);
        run_to_completion(writer, *store, *now);
    }
};

std::vector<std::string> programs_in(const shard_claim& claim)
{
    std::vector<std::string> result;
    std::ranges::transform(claim.records(), std::back_inserter(result),
                           [](const journal_record& it)
                           { return std::get<program_ended>(it.payload).program.value; });
    return result;
}

struct two_processes
{
    core_time now{};
    faulty_store store;
    small_process a{{"a"}, &now, &store};
    small_process b{{"b"}, &now, &store};
};

using strings = std::vector<std::string>;

} // namespace

TEST_CASE("a dead owner's records come over, its journal is sealed first")
{
    two_processes it;
    auto first = it.a.claim(3);
    REQUIRE(it.a.take(first) == claim_state::taken);
    CHECK(first.row().epoch == 1);
    it.a.write(3, 1, "p");
    it.a.write(4, 1, "of another shard");
    it.a.write(3, 1, "q");

    auto second = it.b.claim(3);
    REQUIRE(it.b.take(second) == claim_state::taken);
    CHECK(second.row().epoch == 2);
    CHECK(programs_in(second) == strings{"p", "q"});
    it.a.write(3, 1, "r");
    CHECK(it.a.writer.sealed());
}

TEST_CASE("a live owner keeps its shard")
{
    two_processes it;
    auto first = it.a.claim(0);
    REQUIRE(it.a.take(first) == claim_state::taken);
    it.b.takes = false;
    auto second = it.b.claim(0);
    CHECK(it.b.take(second) == claim_state::taken_by_other);
    CHECK(second.row().owner == it.a.incarnation);
    it.a.write(0, 1, "p");
    CHECK_FALSE(it.a.writer.sealed());
}

TEST_CASE("a released shard is taken without a seal, and comes back to its former owner")
{
    two_processes it;
    auto first = it.a.claim(0);
    REQUIRE(it.a.take(first) == claim_state::taken);
    it.a.write(0, 1, "p");
    auto release = shard_release(first.row(), first.version(), it.a.writer.durable_end(), {});
    run_to_completion(release, it.store, it.now);
    REQUIRE(release.state() == update_state::done);

    it.b.takes = false;
    auto second = it.b.claim(0);
    REQUIRE(it.b.take(second) == claim_state::taken);
    CHECK(programs_in(second) == strings{"p"});
    it.b.write(0, 2, "q");
    it.a.write(9, 1, "of another shard");
    CHECK_FALSE(it.a.writer.sealed());
    auto back = shard_release(second.row(), second.version(), it.b.writer.durable_end(), {});
    run_to_completion(back, it.store, it.now);
    auto third = it.a.claim(0);
    REQUIRE(it.a.take(third) == claim_state::taken);
    CHECK(third.row().epoch == 3);
    CHECK(programs_in(third) == strings{"p", "q"});
}

TEST_CASE("after a checkpoint a successor reads only what came since")
{
    two_processes it;
    auto first = it.a.claim(0);
    REQUIRE(it.a.take(first) == claim_state::taken);
    for (int n = 0; n < 50; ++n)
    {
        it.a.write(0, 1, "old");
    }
    const auto from = it.a.writer.next_index();
    it.a.write(0, 1, "snapshot");
    auto checkpoint = shard_checkpoint(first.row(), first.version(), from, {});
    run_to_completion(checkpoint, it.store, it.now);
    REQUIRE(checkpoint.state() == update_state::done);

    auto second = it.b.claim(0);
    const auto reads = it.store.store().stats().reads;
    REQUIRE(it.b.take(second) == claim_state::taken);
    CHECK(programs_in(second) == strings{"snapshot"});
    CHECK(it.store.store().stats().reads - reads <= 6);
    // The old owner's next change of the row finds out.
    auto late = shard_checkpoint(first.row(), checkpoint.version(), from, {});
    run_to_completion(late, it.store, it.now);
    CHECK(late.state() == update_state::lost_shard);
}

TEST_CASE("a claimant that slept while it read doesn't take what a successor cleaned away for damage")
{
    two_processes it;
    auto first = it.a.claim(0);
    REQUIRE(it.a.take(first) == claim_state::taken);
    it.a.write(0, 1, "p");
    it.a.write(0, 1, "q");
    // The sleeper has the row, and has read nothing yet.
    auto sleeper = it.b.claim(0);
    run_to_completion(sleeper, it.store, it.now);
    run_to_completion(it.b.journals, it.store, it.now);
    run_to_completion(sleeper, it.store, it.now);
    REQUIRE(sleeper.row().owner == it.b.incarnation);

    small_process c{{"c"}, &it.now, &it.store};
    auto third = c.claim(0);
    REQUIRE(c.take(third) == claim_state::taken);
    c.write(0, 3, "snapshot");
    auto checkpoint = shard_checkpoint(third.row(), third.version(), 1, {});
    run_to_completion(checkpoint, it.store, it.now);
    journal_cleaner cleaner(it.a.incarnation, 100, {});
    run_to_completion(cleaner, it.store, it.now);
    REQUIRE(cleaner.deleted() == 2);

    it.b.takes = false;
    CHECK(it.b.take(sleeper) == claim_state::taken_by_other);
    CHECK(sleeper.damages().empty());
}

TEST_CASE("all shards of one dead owner cost one read of its journal")
{
    constexpr shard_index shards = 64;
    constexpr int entries = 20;
    two_processes it;
    std::vector<std::unique_ptr<shard_claim>> claims;
    const auto claim_all = [&](small_process& process)
    {
        claims.clear();
        for (shard_index n = 0; n < shards; ++n)
        {
            claims.push_back(std::make_unique<shard_claim>(process.claim(n)));
            REQUIRE(process.take(*claims.back()) == claim_state::taken);
        }
    };
    claim_all(it.a);
    for (int n = 0; n < entries; ++n)
    {
        it.a.write(static_cast<shard_index>(n) % shards, 1, std::to_string(n));
    }
    const auto before = it.store.store().stats();
    claim_all(it.b);
    const auto after = it.store.store().stats();
    // For each shard its row twice; for the journal two listings, its last entry, and each entry once.
    CHECK(after.reads - before.reads == 2 * shards + 3 + entries);
    CHECK(after.writes - before.writes == shards + 1);
}

TEST_CASE("a claim or an update whose answer was lost ends as it really went")
{
    for (const op_outcome fate : {op_outcome::response_lost, op_outcome::request_lost,
                                  op_outcome::request_delayed, op_outcome::refused})
    {
        two_processes it;
        auto claim = it.a.claim(0);
        run_to_completion(claim, it.store, it.now);
        auto lossy = it.b.claim(0);
        send_next(lossy, it.store, it.now);
        it.store.deliver(0, op_outcome::completed, it.now);
        run_to_completion(it.b.journals, it.store, it.now);
        send_next(lossy, it.store, it.now);
        it.store.deliver(0, fate, it.now);
        REQUIRE(it.b.take(lossy) == claim_state::taken);
        CHECK(lossy.row().epoch == 2);

        auto update = shard_release(lossy.row(), lossy.version(), it.b.writer.durable_end(), {});
        send_next(update, it.store, it.now);
        it.store.deliver(0, fate, it.now);
        it.store.apply_delayed_request(0, it.now);
        run_to_completion(update, it.store, it.now);
        CHECK(update.state() == update_state::done);
    }
}

TEST_CASE("a row that is no row is reported and left alone")
{
    two_processes it;
    static_cast<void>(it.store.store().apply(table_put{shard_key(0), R"({"shard":0,"epoch":)", 0}, it.now));
    auto claim = it.a.claim(0);
    CHECK(it.a.take(claim) == claim_state::damaged_row);
    CHECK(it.store.store().stats().writes == 1);
}

TEST_CASE("rows survive their encoding")
{
    const shard_row row{.shard = 5,
                        .epoch = 7,
                        .owner = {"a"},
                        .owner_name = {R"(entry "1")"},
                        .owner_address = "10.0.0.1:99",
                        .parts = {{.journal = {"x"}, .from_index = 3, .until = 9}, {.journal = {"a"}}}};
    CHECK(decode_shard_row(encode(row)) == row);
    for (const auto* bad : {"", "[]", "{}", R"({"shard":-1})", "nonsense"})
    {
        CHECK_FALSE(decode_shard_row(bad));
    }
}

namespace
{

void run_world(std::uint64_t seed, tests::world_options options)
{
    constexpr int steps = 800;
    tests::state_world world(seed, options);
    for (int n = 0; n < steps; ++n)
    {
        world.step();
    }
    world.settle();
    for (const auto& it : world.oracle().violations())
    {
        RC_LOG() << it << '\n';
    }
    RC_ASSERT(world.oracle().violations().empty());
}

} // namespace

TEST_CASE("over chains of takeovers nothing acknowledged is lost, nothing runs twice, no budget is overspent")
{
    CHECK(rc::check("one shard, claimants that take each other for dead", [](std::uint64_t seed)
                    { run_world(seed, {.homes = 3, .shards = 1, .crash = 20, .wrong_suspicion = 400}); }));
    CHECK(rc::check("several shards, a bad store", [](std::uint64_t seed)
                    { run_world(seed, {.homes = 3, .shards = 3, .freeze = 30, .bad_fate = 400}); }));
}
